import type { Counters } from "@clementinemux/metrics/Counters";
import { RoutingKind } from "@clementinemux/policy/routing/RoutingKind";
import { FleetModel } from "./FleetModel";
import { deployments } from "./deployments";
import { scenarios } from "./scenarios";
import { summarizeRun } from "./summarizeRun";

interface PolicyBenchOptions {
  readonly seed?: number;
  /** Names of deployments, scenarios or routing policies; empty for all. */
  readonly only?: readonly string[];
}

/** Compares the routing policies in every scenario, on a virtual clock. */
export function runPolicyBench({ seed = 1, only = [] }: PolicyBenchOptions = {}): object {
  const isChosen = (names: readonly string[], name: string): boolean => {
    const wanted = only.filter((item) => names.includes(item));
    return wanted.length === 0 || wanted.includes(name);
  };
  const deploymentNames = deployments.map(({ name }) => name);
  const scenarioNames = scenarios.map(({ name }) => name);
  const policyNames = Object.values(RoutingKind);
  const results: object[] = [];
  for (const deployment of deployments.filter(({ name }) => isChosen(deploymentNames, name))) {
    for (const scenario of scenarios.filter(({ name }) => isChosen(scenarioNames, name))) {
      for (const routing of policyNames.filter((name) => isChosen(policyNames, name))) {
        const model = new FleetModel({ deployment, scenario, routing, seed, retryBudgetEnabled: true });
        const records = model.run();
        const workTokens = model.engines.reduce((sum, { computedTokenCount }) => sum + computedTokenCount, 0);
        const summary = summarizeRun(records, workTokens);
        results.push({
          deployment: deployment.name,
          scenario: scenario.name,
          policy: routing,
          ...summary,
          events: sumCounts(model.policies.map(({ counters }) => counters.events)),
          refusals: sumCounts(model.policies.map(({ counters }) => counters.refusals)),
        });
      }
    }
  }
  return { bench: "policy", clock: "virtual", seed, importantOnTimeGoal: 0.999, results };
}

/** Sums the counters of all entries and omits those that are 0. */
function sumCounts(counters: readonly Counters<string>[]): Readonly<Record<string, number>> {
  const sums: Record<string, number> = {};
  for (const [label, value] of counters.flatMap((counter) => [...counter.entries()])) {
    if (value > 0) {
      sums[label] = (sums[label] ?? 0) + value;
    }
  }
  return sums;
}
