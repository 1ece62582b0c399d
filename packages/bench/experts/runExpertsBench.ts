import { createScenarios } from "./createScenarios";
import { runScenario } from "./runScenario";

interface ExpertsBenchResult {
  readonly scenarios: readonly ReturnType<typeof runScenario>[];
}

/** Runs the bench of the expert maps. An empty filter runs every scenario. */
export function runExpertsBench(filter = ""): ExpertsBenchResult {
  const scenarios = createScenarios().filter(({ name }) => name.includes(filter));
  return { scenarios: scenarios.map((scenario) => runScenario(scenario)) };
}
