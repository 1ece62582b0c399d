import type { Slope } from "./Slope";
import { deriveBudget } from "./deriveBudget";
import { measureAgent } from "./measureAgent";
import { measureConfig } from "./measureConfig";
import { measureEntry } from "./measureEntry";
import { measureEntryUnderLoad } from "./measureEntryUnderLoad";
import { measureFleet } from "./measureFleet";
import { measureLeader } from "./measureLeader";
import { measurePolicy } from "./measurePolicy";
import { measureRelay } from "./measureRelay";
import { measureRpc } from "./measureRpc";
import { measureVoter } from "./measureVoter";

type Part = (programs: string) => Promise<readonly Slope[]> | readonly Slope[];

const parts: Readonly<Record<string, Part>> = {
  relay: measureRelay,
  rpc: measureRpc,
  voter: measureVoter,
  config: measureConfig,
  policy: measurePolicy,
  lead: measureLeader,
  entry: measureEntry,
  entryWork: measureEntryUnderLoad,
  agent: measureAgent,
};

/**
 * Measures the slopes. `--part=NAME` measures only one part; `--fleet=true` measures today's deployment as
 * processes instead.
 */
export async function runCapacityBench(
  programs: string,
  options: Readonly<Record<string, string>>,
): Promise<Readonly<Record<string, unknown>>> {
  if (options.fleet === "true") {
    return measureFleet(programs);
  }
  const only = options.part;
  const slopes: Slope[] = [];
  for (const [name, measure] of Object.entries(parts)) {
    if (only === undefined || only === name) {
      slopes.push(...(await measure(programs)));
    }
  }
  return { slopes, budget: deriveBudget(slopes) };
}
