//! Tasks that an instance can't do without.

use {
    googletest::prelude::*, std::time::Duration, tokio::time::timeout, wellplank_node::tasks::Tasks,
};

/// Guards against a task that panics unseen, so that its instance goes on half alive.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn panic_of_a_task_is_told_and_the_end_of_another_is_not() {
    let (tasks, mut panicked) = Tasks::new();
    tasks.spawn("sound", async {});
    tasks.spawn("broken", async {
        tokio::task::yield_now().await;
        panic!("as the test wants");
    });
    let told = timeout(Duration::from_secs(5), panicked.recv()).await;
    expect_that!(told.ok().flatten(), eq(Some("broken")));
    tokio::task::yield_now().await;
    expect_that!(panicked.try_recv().is_err(), eq(true));
}
