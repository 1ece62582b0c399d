import t from "tap";
import { getSpreadCount } from "@clementinemux/entry/getSpreadCount";
import { orderAddresses } from "@clementinemux/entry/orderAddresses";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";

// Reached only when a test hangs.
t.setTimeout(90_000);

interface Team {
  readonly name: string;
  readonly tokensPerS: number;
  readonly callerCount: number;
}

/** An entry has capacity for twice the mean load. */
const maxImbalance = 2;
const callersPerTeam = 2000;
const defaultTokensPerS = 20_000;

function createEntries(count: number): EntryAnnouncement[] {
  return Array.from({ length: count }, (_, index) => ({
    entry: `entry-${index}`,
    incarnation: "1",
    url: `http://entry-${index}`,
    failureDomain: `d${index % 3}`,
    region: "r",
    leaving: false,
  }));
}

/** Ten teams: three have a quarter of the traffic each, and seven share the last quarter. */
function createTeams(totalTokensPerS: number): Team[] {
  return Array.from({ length: 10 }, (_, index) => ({
    name: `team-${index}`,
    tokensPerS: totalTokensPerS * (index < 3 ? 0.25 : 0.25 / 7),
    callerCount: callersPerTeam,
  }));
}

function getOrder(entries: readonly EntryAnnouncement[], team: Team, caller: number): string[] {
  const limit = Math.max(defaultTokensPerS, 1.5 * team.tokensPerS);
  return orderAddresses(entries, team.name, `caller-${caller}`, "r", getSpreadCount(limit));
}

// Guards against a few entries serving the large teams while the others are idle.
for (const { count, totalTokensPerS } of [
  { count: 16, totalTokensPerS: 48_000 },
  { count: 350, totalTokensPerS: 3_600_000 },
]) {
  t.test(`load of ${count} entries is balanced for ten teams`, (t) => {
    const entries = createEntries(count);
    const loads = new Map<string, number>();
    for (const team of createTeams(totalTokensPerS)) {
      for (let caller = 0; caller < team.callerCount; caller += 1) {
        const [first = ""] = getOrder(entries, team, caller);
        loads.set(first, (loads.get(first) ?? 0) + team.tokensPerS / team.callerCount);
      }
    }
    const imbalance = Math.max(...loads.values()) / (totalTokensPerS / count);
    t.comment(`greatest load over mean: ${imbalance.toFixed(2)}`);
    t.ok(imbalance <= maxImbalance, `${imbalance}`);
    t.end();
  });
}

// Guards against one entry receiving all callers of a failed one.
t.test("callers of a failed entry spread over the others", (t) => {
  const entries = createEntries(16);
  const secondAddresses = new Map<string, number>();
  let lostCount = 0;
  for (const team of createTeams(48_000)) {
    for (let caller = 0; caller < team.callerCount; caller += 1) {
      const [first, second = ""] = getOrder(entries, team, caller);
      if (first === "http://entry-5") {
        lostCount += 1;
        secondAddresses.set(second, (secondAddresses.get(second) ?? 0) + 1);
      }
    }
  }
  t.ok(lostCount > 0);
  const greatest = Math.max(...secondAddresses.values()) / (lostCount / 15);
  t.comment(`greatest share of the callers over an equal share: ${greatest.toFixed(2)}`);
  t.ok(greatest <= maxImbalance, `${greatest}`);
  t.end();
});

// Guards against a caller whose first address changes, and against a small team spread over all entries.
t.test("first address is stable for a caller", (t) => {
  const entries = createEntries(16);
  const [team] = createTeams(48_000);
  const firstAddresses = new Set<string>();
  for (let caller = 0; caller < 200; caller += 1) {
    const [first = ""] = getOrder(entries, team!, caller);
    t.equal(getOrder([...entries].reverse(), team!, caller)[0], first);
    firstAddresses.add(first);
  }
  t.equal(firstAddresses.size, getSpreadCount(defaultTokensPerS));
  t.end();
});
