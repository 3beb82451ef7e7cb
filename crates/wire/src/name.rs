//! Serde modules for enum values in JSON declarations.

use super::*;

macro_rules! enum_names {
    ($module:ident, $type:ident, $($name:literal => $value:ident),+) => {
        /// Serializes values of the enum as their lower-case names.
        pub mod $module {
            use super::*;

            const NAMES: &[&str] = &[$($name),+];

            /// Deserializes a name to the number of the value.
            pub fn deserialize<'de, D: Deserializer<'de>>(source: D) -> Result<i32, D::Error> {
                match String::deserialize(source)?.as_str() {
                    $($name => Ok(crate::operator::$type::$value.into()),)+
                    other => Err(D::Error::unknown_variant(other, NAMES)),
                }
            }

            /// Serializes the number of a value as its name; an unknown number counts as the default value.
            #[allow(clippy::trivially_copy_pass_by_ref)]
            pub fn serialize<S: Serializer>(value: &i32, target: S) -> Result<S::Ok, S::Error> {
                match crate::operator::$type::try_from(*value).unwrap_or_default() {
                    $(crate::operator::$type::$value => target.serialize_str($name),)+
                }
            }
        }
    };
}

enum_names!(policy, Policy, "latency" => Latency, "resources" => Resources);
enum_names!(priority, Priority, "background" => Background, "normal" => Normal, "urgent" => Urgent);
