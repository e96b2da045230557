//! How a [`JsonValue`] is read and written by miniserde.

use crate::json_value::JsonValue;
use miniserde::de::{Map, Seq, Visitor};
use miniserde::ser::{self, Fragment};
use miniserde::{Deserialize, Result, Serialize, make_place};
use std::borrow::Cow;

impl Serialize for JsonValue {
    fn begin(&self) -> Fragment<'_> {
        match self {
            JsonValue::Null => Fragment::Null,
            JsonValue::Bool(value) => Fragment::Bool(*value),
            JsonValue::Integer(number) => Fragment::U64(*number),
            JsonValue::Float(number) => Fragment::F64(*number),
            JsonValue::String(text) => Fragment::Str(Cow::Borrowed(text)),
            JsonValue::Array(items) => Fragment::Seq(Box::new(Items(items.iter()))),
            JsonValue::Object(fields) => Fragment::Map(Box::new(Entries(fields.iter()))),
        }
    }
}

struct Items<'a>(std::slice::Iter<'a, JsonValue>);

impl ser::Seq for Items<'_> {
    fn next(&mut self) -> Option<&dyn Serialize> {
        self.0.next().map(|item| item as &dyn Serialize)
    }
}

struct Entries<'a>(std::slice::Iter<'a, (String, JsonValue)>);

impl ser::Map for Entries<'_> {
    fn next(&mut self) -> Option<(Cow<'_, str>, &dyn Serialize)> {
        self.0
            .next()
            .map(|(name, json)| (Cow::Borrowed(name.as_str()), json as &dyn Serialize))
    }
}

make_place!(Place);

impl Deserialize for JsonValue {
    fn begin(out: &mut Option<Self>) -> &mut dyn Visitor {
        Place::new(out)
    }
}

impl Visitor for Place<JsonValue> {
    fn null(&mut self) -> Result<()> {
        self.finish_with(JsonValue::Null)
    }

    fn boolean(&mut self, value: bool) -> Result<()> {
        self.finish_with(JsonValue::Bool(value))
    }

    fn string(&mut self, text: &str) -> Result<()> {
        self.finish_with(JsonValue::String(text.to_owned()))
    }

    fn negative(&mut self, number: i64) -> Result<()> {
        self.finish_with(JsonValue::Float(number as f64))
    }

    fn nonnegative(&mut self, number: u64) -> Result<()> {
        self.finish_with(JsonValue::Integer(number))
    }

    fn float(&mut self, number: f64) -> Result<()> {
        self.finish_with(JsonValue::Float(number))
    }

    fn seq(&mut self) -> Result<Box<dyn Seq + '_>> {
        Ok(Box::new(ArrayBuilder {
            out: &mut self.out,
            items: Vec::new(),
            item: None,
        }))
    }

    fn map(&mut self) -> Result<Box<dyn Map + '_>> {
        Ok(Box::new(ObjectBuilder {
            out: &mut self.out,
            fields: Vec::new(),
            name: None,
            field: None,
        }))
    }
}

impl Place<JsonValue> {
    fn finish_with(&mut self, json: JsonValue) -> Result<()> {
        self.out = Some(json);
        Ok(())
    }
}

struct ArrayBuilder<'a> {
    out: &'a mut Option<JsonValue>,
    items: Vec<JsonValue>,
    item: Option<JsonValue>,
}

impl Seq for ArrayBuilder<'_> {
    fn element(&mut self) -> Result<&mut dyn Visitor> {
        self.items.extend(self.item.take());
        Ok(Deserialize::begin(&mut self.item))
    }

    fn finish(&mut self) -> Result<()> {
        self.items.extend(self.item.take());
        *self.out = Some(JsonValue::Array(std::mem::take(&mut self.items)));
        Ok(())
    }
}

struct ObjectBuilder<'a> {
    out: &'a mut Option<JsonValue>,
    fields: Vec<(String, JsonValue)>,
    name: Option<String>,
    field: Option<JsonValue>,
}

impl ObjectBuilder<'_> {
    fn push_pending_field(&mut self) {
        self.fields.extend(self.name.take().zip(self.field.take()));
    }
}

impl Map for ObjectBuilder<'_> {
    fn key(&mut self, name: &str) -> Result<&mut dyn Visitor> {
        self.push_pending_field();
        self.name = Some(name.to_owned());
        Ok(Deserialize::begin(&mut self.field))
    }

    fn finish(&mut self) -> Result<()> {
        self.push_pending_field();
        *self.out = Some(JsonValue::Object(std::mem::take(&mut self.fields)));
        Ok(())
    }
}
