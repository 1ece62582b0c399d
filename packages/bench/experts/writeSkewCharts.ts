import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { renderSkewChart } from "./renderSkewChart";
import type { runScenario } from "./runScenario";

/** Writes one chart per scenario to the folder, if one is given. */
export function writeSkewCharts(
  scenarios: readonly ReturnType<typeof runScenario>[],
  folder: string | undefined,
): void {
  if (folder === undefined) {
    return;
  }
  mkdirSync(folder, { recursive: true });
  for (const { scenario, policies } of scenarios) {
    writeFileSync(join(folder, `experts-${scenario}.svg`), renderSkewChart(scenario, policies));
  }
}
