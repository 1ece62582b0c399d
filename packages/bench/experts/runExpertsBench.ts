import { createScenarios } from "./createScenarios";
import { measurePlannerCost } from "./measurePlannerCost";
import { runScenario } from "./runScenario";
import { runSteering } from "./runSteering";

interface ExpertsBenchResult {
  readonly scenarios: readonly ReturnType<typeof runScenario>[];
  /** Stream steering among four groups and map planning, each alone and combined, in the first scenario. */
  readonly steering: ReturnType<typeof runSteering>;
  readonly plannerCost: ReturnType<typeof measurePlannerCost>;
}

/** Runs the expert map bench. An empty filter runs every scenario. */
export function runExpertsBench(filter = "", seed = 77): ExpertsBenchResult {
  const scenarios = createScenarios().filter(({ name }) => name.includes(filter));
  return {
    scenarios: scenarios.map((scenario) => runScenario(scenario, seed)),
    steering: scenarios.slice(0, 1).flatMap((scenario) => runSteering(scenario, seed)),
    plannerCost: measurePlannerCost(),
  };
}
