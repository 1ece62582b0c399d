import { createScenarios } from "./createScenarios";
import { measurePlannerCost } from "./measurePlannerCost";
import { runScenario } from "./runScenario";

interface ExpertsBenchResult {
  readonly scenarios: readonly ReturnType<typeof runScenario>[];
  readonly plannerCost: ReturnType<typeof measurePlannerCost>;
}

/** Runs the bench of the expert maps. An empty filter runs every scenario. */
export function runExpertsBench(filter = "", seed = 77): ExpertsBenchResult {
  const scenarios = createScenarios().filter(({ name }) => name.includes(filter));
  return {
    scenarios: scenarios.map((scenario) => runScenario(scenario, seed)),
    plannerCost: measurePlannerCost(),
  };
}
