import fc from "fast-check";
import t from "tap";
import { RequestClass } from "@clementinemux/common/RequestClass";
import { createRandom } from "@clementinemux/common/createRandom";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import { PolicyEvent } from "@clementinemux/policy/PolicyEvent";
import { computeRetryAfterMs } from "@clementinemux/policy/admission/computeRetryAfterMs";
import { PolicyChecker } from "./PolicyChecker";
import { createTestPolicy } from "./createTestPolicy";
import { createTestRequest } from "./createTestRequest";
import { createTestView } from "./createTestView";

const classes = Object.values(RequestClass);

function getAttemptId(action: PolicyAction | undefined): string {
  return action !== undefined && "attemptId" in action ? action.attemptId : "";
}

const schedule = fc.array(
  fc.record({
    kind: fc.constantFrom("submit", "submit", "submit", "tokens", "end", "end", "gone", "targets", "wait"),
    pick: fc.integer({ min: 0, max: 1000 }),
    end: fc.constantFrom(...Object.values(AttemptEndKind)),
    waitMs: fc.integer({ min: 1, max: 700 }),
  }),
  { minLength: 20, maxLength: 150 },
);

type Steps = typeof schedule extends fc.Arbitrary<infer Value> ? Value : never;

function runSchedule(steps: Steps): readonly string[] {
  const policy = createTestPolicy();
  const checker = new PolicyChecker();
  let nowMs = 0;
  const applyTargets = (closed: number): void => {
    const names = ["t0", "t1", "t2", "t3"];
    const open = names.filter((_, index) => ((closed >> index) & 1) === 0);
    checker.accepting = new Set(open);
    const load = { measuredAtMs: nowMs, batchLimitCount: 2 };
    const views = names.map((name) =>
      createTestView({ name, domain: `d${name}`, accepting: open.includes(name), load }),
    );
    checker.checkActions(policy.applyTargets(views, nowMs), nowMs);
  };
  applyTargets(0);
  for (const [index, { kind, pick, end, waitMs }] of steps.entries()) {
    const attemptId = [...checker.attempts.keys()][pick % Math.max(1, checker.attempts.size)] ?? "";
    if (kind === "submit") {
      const request = createTestRequest({
        requestId: `r${index}`,
        team: `team-${pick % 3}`,
        requestClass: classes[pick % classes.length] ?? RequestClass.Bulk,
        deadlineAtMs: nowMs + 2500 + 10 * pick,
        repeatable: pick % 4 !== 0,
      });
      checker.addRequest(request);
      checker.checkActions(policy.submit(request, nowMs), nowMs);
    } else if (kind === "tokens") {
      checker.checkActions(policy.onTokens(attemptId, 1 + (pick % 50), nowMs), nowMs);
    } else if (kind === "end") {
      checker.addEnd(attemptId, end);
      checker.checkActions(policy.onAttemptEnded(attemptId, end, nowMs), nowMs);
    } else if (kind === "gone") {
      const requestId = `r${pick % (index + 1)}`;
      checker.addCallerGone(requestId);
      checker.checkActions(policy.onCallerGone(requestId, nowMs), nowMs);
    } else if (kind === "targets") {
      applyTargets(pick % 16);
    } else {
      nowMs += waitMs;
    }
    checker.checkActions(policy.onTick(nowMs), nowMs);
  }
  // Long after every deadline each request must have ended: none may remain queued or without a response.
  checker.checkActions(policy.onTick(nowMs + 60_000), nowMs + 60_000);
  const openCount = checker.countUnfinished();
  return openCount === 0 ? checker.violations : [...checker.violations, `${openCount} requests never ended`];
}

// Guards against reporting not_run without proof (I3), running a non-repeatable request twice (I4),
// dispatching to targets that do not accept work (I5) and dispatching after the deadline.
t.test("random schedules keep the invariants", (t) => {
  let violations: readonly string[] = [];
  const property = fc.property(schedule, (steps) => {
    const found = runSchedule(steps);
    violations = found.length > 0 ? found : violations;
    return found.length === 0;
  });
  const { failed } = fc.check(property, { seed: 3, numRuns: 400 });
  t.same(violations, []);
  t.notOk(failed);
  t.end();
});

// Guards against a request that is queued until its deadline although the deadline cannot be met.
t.test("request with an unreachable deadline is refused immediately", (t) => {
  const policy = createTestPolicy();
  policy.applyTargets([createTestView({ name: "a", load: { batchLimitCount: 1 } })], 0);
  t.match(policy.submit(createTestRequest({}), 0), [{ kind: "dispatch" }]);
  const second = createTestRequest({ requestId: "r2", deadlineAtMs: 2500 });
  t.match(policy.submit(second, 0), [{ kind: "refuse", reason: "deadline_unreachable", outcome: "not_run" }]);
  t.end();
});

// Guards against an important request that waits behind bulk requests, and against losing a preempted
// request.
t.test("preempted request resumes", (t) => {
  const policy = createTestPolicy();
  policy.applyTargets([createTestView({ name: "a", load: { batchLimitCount: 1 } })], 0);
  const bulk = policy.submit(createTestRequest({ requestClass: RequestClass.Bulk }), 0);
  policy.onTokens(getAttemptId(bulk[0]), 5, 100);
  const first = policy.submit(
    createTestRequest({ requestId: "i1", requestClass: RequestClass.Important }),
    200,
  );
  t.match(first, [{ kind: "dispatch", requestId: "i1" }], "the important class may exceed the batch limit");
  const second = policy.submit(
    createTestRequest({ requestId: "i2", requestClass: RequestClass.Important }),
    300,
  );
  t.match(second, [
    { kind: "cancel_attempt", requestId: "r", reason: "preempted" },
    { kind: "dispatch", requestId: "i2" },
  ]);
  policy.onAttemptEnded(getAttemptId(first[0]), AttemptEndKind.Completed, 400);
  const resumed = policy.onAttemptEnded(getAttemptId(second[1]), AttemptEndKind.Completed, 500);
  t.match(resumed, [{ kind: "dispatch", requestId: "r", resume: true }]);
  t.end();
});

// Guards against hedging other classes, losing attempts that are not cancelled, and responses from two
// attempts.
t.test("only the important class hedges", (t) => {
  for (const requestClass of classes) {
    const policy = createTestPolicy();
    const views = ["a", "b"].map((name) => createTestView({ name, domain: name }));
    policy.applyTargets(views, 0);
    const [first] = policy.submit(createTestRequest({ requestClass }), 0);
    const hedge = policy.onTick(2000);
    if (requestClass !== RequestClass.Important) {
      t.same(hedge, []);
      continue;
    }
    t.match(hedge, [{ kind: "dispatch", retryReason: "hedge" }]);
    t.not(getAttemptId(hedge[0]), getAttemptId(first));
    const losers = policy.onTokens(getAttemptId(hedge[0]), 1, 2100);
    t.match(losers, [{ kind: "cancel_attempt", attemptId: getAttemptId(first), reason: "hedge" }]);
    t.equal(policy.counters.events.get(PolicyEvent.HedgeWon), 1);
  }
  t.end();
});

// Guards against leaving an important stream on a slow target until its deadline, and against moving streams
// of other classes.
t.test("late important stream is moved", (t) => {
  for (const requestClass of classes) {
    const policy = createTestPolicy();
    const views = ["a", "b"].map((name) => createTestView({ name, domain: name }));
    policy.applyTargets(views, 0);
    const request = createTestRequest({ requestClass, maxTokenCount: 200, deadlineAtMs: 8000 });
    const [first] = policy.submit(request, 0);
    policy.onTokens(getAttemptId(first), 1, 100);
    policy.onTokens(getAttemptId(first), 20, 2000);
    const moved = policy.onTick(2000);
    if (requestClass !== RequestClass.Important) {
      t.same(moved, []);
      continue;
    }
    t.match(moved, [
      { kind: "cancel_attempt", attemptId: getAttemptId(first) },
      { kind: "dispatch", resume: true, retryReason: "token_gap_timeout" },
    ]);
  }
  t.end();
});

// Guards against a stream that is continued by a target with other model weights.
t.test("stream resumes only on a target of the same version", (t) => {
  const policy = createTestPolicy();
  policy.applyTargets([createTestView({ name: "a", version: "1" })], 0);
  const [first] = policy.submit(createTestRequest({}), 0);
  policy.onTokens(getAttemptId(first), 5, 100);
  policy.applyTargets(
    [createTestView({ name: "a", accepting: false }), createTestView({ name: "b", version: "2" })],
    150,
  );
  const [next] = policy.onAttemptEnded(getAttemptId(first), AttemptEndKind.StreamBroken, 200);
  t.match(next, { kind: "refuse", reason: "stream_not_resumable", outcome: "unknown" });
  t.end();
});

// Guards against entries that all choose the same target because they have the same late load report.
t.test("targets with close scores are chosen at random", (t) => {
  const chosen = new Set<string>();
  for (let seed = 0; seed < 16; seed += 1) {
    const policy = createTestPolicy({}, seed);
    policy.applyTargets(
      ["a", "b", "c", "d"].map((name) => createTestView({ name })),
      0,
    );
    const [action] = policy.submit(createTestRequest({}), 0);
    chosen.add(action !== undefined && "target" in action ? action.target : "");
  }
  t.equal(chosen.size, 4);
  t.end();
});

// Guards against callers that were rejected together and retry together, or before the backlog has drained.
t.test("retry-after follows the backlog with jitter", (t) => {
  const random = createRandom(1);
  const times = Array.from({ length: 200 }, () => computeRetryAfterMs(4000, random));
  t.ok(times.every((timeMs) => timeMs >= 3000 && timeMs <= 7001));
  t.ok(new Set(times).size > 150);
  t.end();
});

// Guards against an explain log that grows with the number of requests or lacks the scores.
t.test("explain log keeps the most recent requests", (t) => {
  const policy = createTestPolicy();
  policy.applyTargets([createTestView({ name: "a" })], 0);
  for (let index = 0; index < 2100; index += 1) {
    const [action] = policy.submit(createTestRequest({ requestId: `r${index}` }), index * 5);
    policy.onAttemptEnded(getAttemptId(action), AttemptEndKind.Completed, index * 5 + 1);
  }
  t.same(policy.explain("r0"), []);
  t.match(policy.explain("r2099"), [{ decision: "dispatch:first", candidates: [{ target: "a" }] }]);
  t.end();
});
