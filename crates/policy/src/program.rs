//! Compiling and running policy programs.

use rhai::packages::{
    ArithmeticPackage, BasicArrayPackage, BasicIteratorPackage, BasicMapPackage, BasicMathPackage,
    BasicStringPackage, LogicPackage, Package,
};
use rhai::{AST, Engine, Scope};

use crate::{Context, Decision, PolicyError};

/// Steps a program may take for one decision.
const MAXIMUM_OPERATIONS: u64 = 20_000;
/// Depth of nested calls.
const MAXIMUM_CALL_LEVELS: usize = 16;
/// Depth of nested expressions.
const MAXIMUM_EXPRESSION_DEPTH: usize = 32;
/// Longest string, array or map a program may build.
const MAXIMUM_SIZE: usize = 4096;
/// Hours in a day: a program is tried at each before it is accepted.
const HOURS: u32 = 24;

/// A compiled policy program.
#[derive(Debug)]
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Compiles `source`. Syntax errors are found here, type errors by [`Self::rehearse`].
    pub fn compile(source: &str) -> Result<Self, PolicyError> {
        let engine = bounded_engine();
        let ast = engine
            .compile(source)
            .map_err(|error| PolicyError::Syntax {
                line: error.position().line().unwrap_or(0),
                cause: error.err_type().to_string(),
            })?;
        let defined = ast
            .iter_functions()
            .any(|function| function.name == "decide" && function.params.len() == 1);
        if !defined {
            return Err(PolicyError::Syntax {
                line: 0,
                cause: "fn decide(context) is not defined".to_owned(),
            });
        }
        Ok(Self { engine, ast })
    }

    /// Runs the program on `context`.
    pub fn decide(&self, context: &Context) -> Result<Decision, PolicyError> {
        let mut scope = Scope::new();
        let result = self
            .engine
            .call_fn(&mut scope, &self.ast, "decide", (context.to_dynamic(),))
            .map_err(|error| PolicyError::Run {
                line: error.position().line().unwrap_or(0),
                context: format!("model {} at hour {}", context.model, context.hour),
                cause: root_cause(&error),
            })?;
        Decision::from_dynamic(result)
    }

    /// Runs the program at every hour of the day for a made-up model, with and
    /// without runners, so that type errors show before it is accepted.
    pub fn rehearse(&self) -> Result<(), PolicyError> {
        for runners in [0, 1, 8] {
            for hour in 0..HOURS {
                self.decide(&rehearsal(runners, hour))?;
            }
        }
        Ok(())
    }
}

fn rehearsal(runners: u32, hour: u32) -> Context {
    Context {
        model: "rehearsal".to_owned(),
        service: "rehearsal".to_owned(),
        runners,
        zones: Vec::new(),
        hour,
        minute: 0,
        requests_per_second: 0.0,
        in_flight: 0,
        waiting: 0,
        priority: 0,
        starved: 0.0,
        slots: 1,
    }
}

fn root_cause(error: &rhai::EvalAltResult) -> String {
    match error {
        rhai::EvalAltResult::ErrorInFunctionCall(_, _, inner, _) => root_cause(inner),
        rhai::EvalAltResult::ErrorTooManyOperations(_) => {
            format!("takes more than {MAXIMUM_OPERATIONS} steps")
        }
        other => other.to_string(),
    }
}

/// An engine without clock, randomness, printing, modules or `eval`.
fn bounded_engine() -> Engine {
    let mut engine = Engine::new_raw();
    ArithmeticPackage::new().register_into_engine(&mut engine);
    LogicPackage::new().register_into_engine(&mut engine);
    BasicStringPackage::new().register_into_engine(&mut engine);
    BasicArrayPackage::new().register_into_engine(&mut engine);
    BasicMapPackage::new().register_into_engine(&mut engine);
    BasicMathPackage::new().register_into_engine(&mut engine);
    BasicIteratorPackage::new().register_into_engine(&mut engine);
    engine.disable_symbol("eval");
    engine.set_max_operations(MAXIMUM_OPERATIONS);
    engine.set_max_call_levels(MAXIMUM_CALL_LEVELS);
    engine.set_max_expr_depths(MAXIMUM_EXPRESSION_DEPTH, MAXIMUM_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAXIMUM_SIZE);
    engine.set_max_array_size(MAXIMUM_SIZE);
    engine.set_max_map_size(MAXIMUM_SIZE);
    engine
}
