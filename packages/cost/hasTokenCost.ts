import type { EngineParameters } from "@clementinemux/routes/EngineParameters";

/** Whether the parameters say how long a token takes. */
export function hasTokenCost(engine: EngineParameters | null): engine is EngineParameters {
  return engine !== null && engine.stepMs + engine.perSequenceMs > 0;
}
