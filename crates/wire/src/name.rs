//! Names of enumerated values in JSON declarations.

use super::*;

macro_rules! named {
    ($module:ident, $type:ident, $($name:literal => $value:ident),+) => {
        /// Writes and reads the values by their lower-case names.
        pub mod $module {
            use super::*;

            const NAMES: &[&str] = &[$($name),+];

            /// Reads a name.
            pub fn deserialize<'de, D: Deserializer<'de>>(source: D) -> Result<i32, D::Error> {
                match String::deserialize(source)?.as_str() {
                    $($name => Ok(crate::operator::$type::$value.into()),)+
                    other => Err(D::Error::unknown_variant(other, NAMES)),
                }
            }

            /// Writes a name.
            #[allow(clippy::trivially_copy_pass_by_ref)]
            pub fn serialize<S: Serializer>(value: &i32, target: S) -> Result<S::Ok, S::Error> {
                match crate::operator::$type::try_from(*value).unwrap_or_default() {
                    $(crate::operator::$type::$value => target.serialize_str($name),)+
                }
            }
        }
    };
}

named!(policy, Policy, "latency" => Latency, "resources" => Resources);
named!(priority, Priority, "background" => Background, "normal" => Normal, "urgent" => Urgent);
