import t from "tap";
import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { Counters } from "@clementinemux/metrics/Counters";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import { RequestClass } from "@clementinemux/common/RequestClass";
import { PolicyEvent } from "@clementinemux/policy/PolicyEvent";
import { TargetTable } from "@clementinemux/policy/TargetTable";
import { ConcurrencyLimit } from "@clementinemux/policy/health/ConcurrencyLimit";
import { RetryBudget } from "@clementinemux/policy/health/RetryBudget";
import { TargetHealth } from "@clementinemux/policy/health/TargetHealth";
import { PrefixIndex } from "@clementinemux/policy/routing/PrefixIndex";
import { createTestPolicy } from "./createTestPolicy";
import { createTestRequest } from "./createTestRequest";
import { createTestView } from "./createTestView";

function createTargetTable(count: number, groupSkew = 1): TargetTable {
  const events = new Counters<PolicyEvent>("events", "event", Object.values(PolicyEvent));
  const table = new TargetTable(new PrefixIndex(10), events);
  const names = Array.from({ length: count }, (_, index) => `t${index}`);
  table.applyViews(
    names.map((name) => createTestView({ name, group: "g", load: { groupSkew } })),
    0,
  );
  return table;
}

function countEjected(table: TargetTable): number {
  return [...table.all].filter(({ health }) => health.isEjected).length;
}

// Guards against ejecting most of a fleet when the targets are not the cause of the errors.
t.test("ejected share is bounded", (t) => {
  const table = createTargetTable(10);
  for (const { health } of table.all) {
    for (let count = 0; count < 20; count += 1) {
      health.addError(0);
    }
  }
  table.ejectOutliers(0.2, 0);
  table.ejectOutliers(0.2, 100);
  t.equal(countEjected(table), 2);
  t.end();
});

// Guards against treating a group slowed by one rank as failed, and against keeping a slow target.
t.test("slow target is ejected unless its group is slow", (t) => {
  for (const { skew, expected } of [
    { skew: 1, expected: 1 },
    { skew: 2, expected: 0 },
  ]) {
    const table = createTargetTable(10, skew);
    const [first] = table.all;
    for (let count = 0; count < 40; count += 1) {
      first?.health.addLatencyRatio(10);
      first?.health.addSuccess(0);
    }
    table.ejectOutliers(0.2, 0);
    t.equal(countEjected(table), expected);
  }
  t.end();
});

// Guards against sending full load to a target that may still fail: only a successful probe readmits it.
t.test("one successful probe readmits a target", (t) => {
  const health = new TargetHealth(0);
  health.eject(0);
  t.notOk(health.maySend(4999));
  t.ok(health.maySend(5000));
  health.onDispatch("a");
  t.notOk(health.maySend(5001), "one probe at a time");
  health.onAttemptEnded("a", false, 6000);
  t.notOk(health.maySend(15_999), "the ejection time doubles");
  t.ok(health.maySend(16_000));
  health.onDispatch("b");
  health.onAttemptEnded("b", true, 17_000);
  t.notOk(health.isEjected);
  t.equal(health.getColdShare(17_000), 1, "warms up after readmission");
  t.end();
});

// Guards against a target that is avoided forever because of old errors.
t.test("error rate decays with time", (t) => {
  const health = new TargetHealth(0);
  for (let count = 0; count < 4; count += 1) {
    health.addError(1000);
  }
  t.ok(health.getErrorRate(1000) > 0.4);
  t.ok(health.getErrorRate(61_000) < 0.05);
  t.end();
});

// Guards against retries that multiply the load: they are at most a tenth of the requests, plus a small
// minimum.
t.test("retries stay within the share", (t) => {
  const budget = new RetryBudget(0.1, 0);
  let retries = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    budget.addRequest("a", nowMs);
    retries += budget.tryTake("a", nowMs) ? 1 : 0;
  }
  t.ok(retries <= 600 + 5, `${retries} retries of 6000 requests`);
  t.ok(retries >= 500, `${retries} retries of 6000 requests`);
  t.end();
});

// Guards against one failing team that uses up the retry budget of the others.
t.test("budget is per team", (t) => {
  const budget = new RetryBudget(0.1, 0);
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    budget.addRequest("a", nowMs);
    budget.addRequest("b", nowMs);
    budget.tryTake("a", nowMs);
  }
  t.ok(budget.tryTake("b", 10_000));
  t.end();
});

// Guards against an important class without retries because the common budget is spent, and against more
// retries than its reserve.
t.test("important class has a reserve", (t) => {
  const budget = new RetryBudget(0.1, 0);
  const counts = { [RequestClass.Important]: 0, [RequestClass.Standard]: 0 };
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    // One request in ten is important; the others use up the common budget.
    const requestClass = nowMs % 100 === 0 ? RequestClass.Important : RequestClass.Standard;
    budget.addRequest("a", nowMs, requestClass);
    counts[requestClass] += budget.tryTake("a", nowMs, requestClass) ? 1 : 0;
  }
  const important = counts[RequestClass.Important];
  t.ok(important >= 0.25 * 600, `${important} retries of 600 important requests`);
  t.ok(important <= (0.25 + 0.1) * 600 + 5, `${important} retries of 600 important requests`);
  t.ok(counts[RequestClass.Standard] <= 600 + 5, `${counts[RequestClass.Standard]} other retries`);
  t.end();
});

// Guards against a limit that collapses on one burst of late responses, or does not react to it.
t.test("limit decreases once per congestion event", (t) => {
  const limit = new ConcurrencyLimit();
  const startLimit = limit.limit;
  limit.onOverload(1000);
  limit.onOverload(1001);
  t.equal(limit.limit, startLimit * 0.8);
  t.end();
});

// Guards against running a non-repeatable request twice (I4), and against reporting not_run without proof
// (I3).
t.test("non-repeatable request is retried only if it has not run", (t) => {
  for (const { end, outcome } of [
    { end: AttemptEndKind.StreamBroken, outcome: Outcome.Unknown },
    { end: AttemptEndKind.FirstTokenTimeout, outcome: Outcome.Unknown },
    { end: AttemptEndKind.TargetError, outcome: Outcome.RunFailed },
    { end: AttemptEndKind.AgentRefused, outcome: null },
  ]) {
    const policy = createTestPolicy();
    policy.applyTargets([createTestView({ name: "a" }), createTestView({ name: "b", domain: "d2" })], 0);
    const [first] = policy.submit(createTestRequest({ repeatable: false }), 0);
    const attemptId = first !== undefined && "attemptId" in first ? first.attemptId : "";
    const [next] = policy.onAttemptEnded(attemptId, end, 100);
    if (outcome === null) {
      t.match(next, { kind: "dispatch", retryReason: "agent_refused" });
    } else {
      t.match(next, { kind: "refuse", outcome, reason: RefusalReason.TargetsFailed });
    }
  }
  t.end();
});

// Guards against retrying in the same failing domain, and after the deadline.
t.test("retry uses another failure domain and respects the deadline", (t) => {
  const views = ["a", "b", "c"].map((name) => createTestView({ name, domain: name === "c" ? "d2" : "d1" }));
  for (const { nowMs, expected } of [
    { nowMs: 100, expected: { kind: "dispatch", target: "c" } },
    { nowMs: 59_900, expected: { kind: "refuse", reason: "deadline_unreachable" } },
  ]) {
    const policy = createTestPolicy();
    policy.applyTargets(views, 0);
    const [first] = policy.submit(createTestRequest({}), 0);
    t.match(first, { kind: "dispatch" });
    const attemptId = first !== undefined && "attemptId" in first ? first.attemptId : "";
    t.match(policy.onAttemptEnded(attemptId, AttemptEndKind.ConnectFailed, nowMs)[0], expected);
  }
  t.end();
});
