import t from "tap";
import { RoutingKind } from "@clementinemux/policy/routing/RoutingKind";
import { FleetModel } from "@clementinemux/bench/policy/FleetModel";
import { deployments } from "@clementinemux/bench/policy/deployments";
import { scenarios } from "@clementinemux/bench/policy/scenarios";
import { summarizeRun } from "@clementinemux/bench/policy/summarizeRun";

// Reached only when a test hangs.
t.setTimeout(90_000);

type Summary = ReturnType<typeof summarizeRun>;

function run(name: string, routing: RoutingKind): Summary {
  const deployment = deployments.find((candidate) => candidate.name === "A")!;
  const scenario = { ...scenarios.find((candidate) => candidate.name === name)!, durationMs: 20_000 };
  const model = new FleetModel({ deployment, scenario, routing, seed: 7, retryBudgetEnabled: true });
  return summarizeRun(
    model.run(),
    model.engines.reduce((sum, { computedTokenCount }) => sum + computedTokenCount, 0),
  );
}

// Guards against lost or repeated tokens, silent truncation and requests that ran although rejected.
t.test("no scenario corrupts a response", (t) => {
  for (const { name } of scenarios) {
    const summary = run(name, RoutingKind.Full);
    t.match(summary, { refusedThenRun: 0, wrongAnswer: 0, truncatedSilently: 0 }, name);
    t.ok(summary.importantOnTime >= 0.999, `${name}: importantOnTime ${summary.importantOnTime}`);
  }
  t.end();
});

// Guards against results that cannot be reproduced.
t.test("same seed gives the same results", (t) => {
  t.same(run("overload", RoutingKind.TwoChoices), run("overload", RoutingKind.TwoChoices));
  t.end();
});
