import fc from "fast-check";
import t from "tap";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { LimitTable } from "@clementinemux/policy/admission/LimitTable";
import { TeamLimits } from "@clementinemux/policy/admission/TeamLimits";
import { unleasedShare } from "@clementinemux/policy/admission/unleasedShare";

const leaseMs = 4000;
const limitPerS = 40;

// Guards against shares that sum to more than the limit when entries die, restart or change their demand.
t.test("shares never exceed the limit", (t) => {
  const step = fc.record({
    holder: fc.integer({ min: 0, max: 5 }),
    demand: fc.integer({ min: 0, max: 200 }),
    waitMs: fc.integer({ min: 0, max: 3000 }),
    restarts: fc.boolean(),
  });
  const property = fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
    const table = new LimitTable(limitPerS, leaseMs);
    const starts = new Map<number, number>();
    // The share that each holder may still be using, tracked by the test until the lease ends.
    const active: { share: number; endMs: number; id: string }[] = [];
    let nowMs = 0;
    for (const { holder, demand, waitMs, restarts } of steps) {
      nowMs += waitMs;
      const start = (starts.get(holder) ?? 0) + (restarts ? 1 : 0);
      starts.set(holder, start);
      const id = `${holder}.${start}`;
      const share = table.renew(id, demand, nowMs);
      const earlier = active.findIndex((grant) => grant.id === id);
      active.splice(earlier < 0 ? active.length : earlier, 1, { share, endMs: nowMs + leaseMs, id });
      const sum = active.reduce((total, grant) => (grant.endMs > nowMs ? total + grant.share : total), 0);
      if (sum > limitPerS + 1e-9) {
        return false;
      }
    }
    return true;
  });
  fc.assert(property, { seed: 5, numRuns: 300 });
  t.end();
});

// Guards against shares that don't follow the traffic from one entry to another.
t.test("shares follow the demand", (t) => {
  const table = new LimitTable(limitPerS, leaseMs);
  let busy = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 1000) {
    table.renew("idle", 0, nowMs);
    busy = table.renew("busy", 100, nowMs);
  }
  t.ok(busy >= 0.85 * limitPerS, `${busy} of ${limitPerS}`);
  t.end();
});

// Guards against an entry that keeps admitting requests on a share whose lease has ended.
t.test("leased share is not used after the lease end", (t) => {
  const limits = new TeamLimits(0);
  limits.setLeasing(true);
  limits.setLiveEntryCount(1000);
  const share = 1 - unleasedShare;
  limits.applyShares([{ team: "a", share, leaseStartMs: 0, leaseEndMs: 4000 }], 0);
  const rates = { requestsPerS: 100, tokensPerS: 1e6 };
  t.equal(limits.take("a", rates, 10, 3900), null);
  // The unleased part permits one request per 100 s here.
  t.equal(limits.take("a", rates, 10, 4000), null);
  t.equal(limits.take("a", rates, 10, 4001)?.reason, RefusalReason.TeamRequestLimit);
  t.equal(limits.take("a", rates, 10, 14_000)?.reason, RefusalReason.TeamRequestLimit);
  t.end();
});

// Guards against granting a share to another entry although the response that lowered it was lost.
t.test("lowered share stays reserved until acknowledged", (t) => {
  const table = new LimitTable(limitPerS, leaseMs);
  const first = table.renew("a", 1, 0, { sequence: 1, ackedSequence: 0, heldShare: 0 });
  table.renew("b", 100, 1000, { sequence: 2, ackedSequence: 0, heldShare: 0 });
  table.renew("a", 1, 1500, { sequence: 3, ackedSequence: 1, heldShare: 0 });
  const whileLost = table.renew("b", 100, 2000, { sequence: 4, ackedSequence: 2, heldShare: 0 });
  t.ok(first + whileLost <= limitPerS, `${first} + ${whileLost}`);
  table.renew("a", 1, 2500, { sequence: 5, ackedSequence: 3, heldShare: 0 });
  t.ok(table.renew("b", 100, 3000, { sequence: 6, ackedSequence: 4, heldShare: 0 }) > 0.8 * limitPerS);
  t.end();
});

// Guards against admitting more than the documented bound: limit * (T + 2 s) plus one request per entry.
t.test("fleet admits at most the documented bound", (t) => {
  const table = new LimitTable(1 - unleasedShare, leaseMs);
  const rates = { requestsPerS: limitPerS, tokensPerS: 1e9 };
  const admittedAtMs: number[] = [];
  const start = (id: string, nowMs: number): { id: string; limits: TeamLimits } => {
    const limits = new TeamLimits(nowMs);
    limits.setLeasing(true);
    limits.setLiveEntryCount(4);
    return { id, limits };
  };
  let entries = [0, 1, 2, 3].map((index) => start(`${index}`, 0));
  for (let nowMs = 0; nowMs <= 20_000; nowMs += 10) {
    if (nowMs % 5000 === 2500) {
      // One entry crashes and restarts without state, as a new holder.
      entries = [...entries.slice(1), start(`${nowMs}`, nowMs)];
    }
    for (const { id, limits } of entries) {
      if (nowMs % 1000 === 0 || id === `${nowMs}`) {
        const share = table.renew(id, 1 + (nowMs % 7), nowMs);
        const leaseEndMs = nowMs + leaseMs;
        limits.applyShares([{ team: "a", share, leaseStartMs: nowMs, leaseEndMs }], nowMs);
      }
      while (limits.take("a", rates, 1, nowMs) === null) {
        admittedAtMs.push(nowMs);
      }
    }
  }
  for (let fromMs = 0; fromMs < 20_000; fromMs += 500) {
    for (const windowMs of [1000, 5000]) {
      const count = admittedAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + windowMs).length;
      const bound = limitPerS * (windowMs / 1000 + 2) + 5;
      t.ok(count <= bound, `${count} from ${fromMs} in ${windowMs} ms, bound ${bound}`);
    }
  }
  t.ok(admittedAtMs.length > 0.6 * limitPerS * 20, `${admittedAtMs.length} admitted`);
  t.end();
});
