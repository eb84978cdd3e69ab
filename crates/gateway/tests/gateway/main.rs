//! Tests of the gateway binary against a stand-in store and scripted replicas.

mod birth;
mod common;
mod crowded;
mod ingress;
mod keys;
mod late_news;
mod lifecycle;
mod limit;
mod members;
mod moves;
mod plain;
mod quarantine;
mod quotas;
mod second_answers;
mod second_calls;
mod second_store;
mod site;
mod stages;
mod stream;
mod whole;
mod world;
