import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { SlotFleet } from "./SlotFleet";
import type { Arrival, Served } from "./SlotFleet";

interface RouteLoad {
  readonly priority: number;
  readonly waitLimitMs: number;
  /** Mean time in a slot. */
  readonly slotMs: number;
  /** Share of all slots that the route occupies on average. */
  readonly load: number;
  /** Multiple of the rate between 5 and 9 s. */
  readonly burst: number;
}

const targets = 72;
const slots = 7;
const lastArrivalMs = 12_000;
/** Requests of a short peak for which the free slots suffice, and of one that uses up all slots. */
const peaks = { small: 150, large: 220 };

function isInBurst(atMs: number): boolean {
  return atMs > 5000 && atMs < 9000;
}

/** Poisson arrivals; the first gateways get several times as many as the last ones. */
function createArrivals(gateways: number, routes: readonly RouteLoad[]): Arrival[] {
  const random = createRandom(21);
  const drawExponential = (mean: number): number => -Math.log(1 - random()) * mean;
  return routes.flatMap(({ priority, waitLimitMs, slotMs, load, burst }) => {
    const arrivals: Arrival[] = [];
    const meanGapMs = slotMs / (targets * slots * load);
    for (let atMs = drawExponential(meanGapMs); atMs < lastArrivalMs;) {
      const gateway = Math.floor(random() ** 2 * gateways);
      const team = `t${arrivals.length % 3}`;
      const drawnMs = slotMs * 0.3 + drawExponential(slotMs * 0.7);
      arrivals.push({ atMs, gateway, priority, team, waitLimitMs, slotMs: drawnMs });
      atMs += drawExponential(meanGapMs / (isInBurst(atMs) ? burst : 1));
    }
    return arrivals;
  });
}

function play(gateways: number, arrivals: readonly Arrival[], hasQueue: boolean): SlotFleet {
  const fleet = new SlotFleet({ gateways, targets, slots, hasQueue, random: createRandom(3) });
  // Requests that wait at an overrun target end within a few seconds.
  fleet.play(arrivals, lastArrivalMs + 20_000);
  return fleet;
}

function getServedShare(results: readonly Served[]): number {
  return results.filter(({ waitMs }) => waitMs !== null).length / results.length;
}

/** Share of the requests that ran within their wait limit. */
function getTimelyShare(results: readonly Served[]): number {
  const timely = results.filter(({ waitMs, arrival }) => waitMs !== null && waitMs <= arrival.waitLimitMs);
  return timely.length / results.length;
}

function createRoutes(load: number, burst: number): RouteLoad[] {
  return [
    { priority: 0, waitLimitMs: 200, slotMs: 2500, load: load / 3, burst: 1 },
    { priority: 1, waitLimitMs: 200, slotMs: 3000, load: load / 3, burst: 1 },
    { priority: 2, waitLimitMs: 400, slotMs: 2000, load: load / 3, burst },
  ];
}

for (const gateways of [3, 68]) {
  // Guards against a burst of a less urgent route that takes the slots of the urgent ones.
  t.test(`a burst of one route beside two others, seen by ${gateways} gateways`, (t) => {
    const arrivals = createArrivals(gateways, createRoutes(0.8, 4));
    const today = play(gateways, arrivals, false);
    const queued = play(gateways, arrivals, true);
    t.equal(queued.results.length, arrivals.length, "every request is sent or rejected once");
    const select = (fleet: SlotFleet, isWanted: (arrival: Arrival) => boolean): Served[] =>
      fleet.results.filter(({ arrival }) => isInBurst(arrival.atMs) && isWanted(arrival));
    const shares = [0, 1, 2].map((priority) => {
      const isOf = (arrival: Arrival): boolean => arrival.priority === priority;
      return [today, queued].map((fleet) => getServedShare(select(fleet, isOf)));
    });
    t.comment(JSON.stringify({ shares, overruns: [today.overruns, queued.overruns] }));
    for (const [before = 0, after = 0] of shares.slice(0, 2)) {
      t.ok(after > before, `urgent requests: ${after} served, ${before} without a queue`);
    }
    t.ok((shares[2]?.[1] ?? 0) > 0.05, "less urgent requests are not starved");
    for (const team of ["t0", "t1", "t2"]) {
      const ofTeam = select(queued, (arrival) => arrival.team === team && arrival.priority === 2);
      const difference = Math.abs(getServedShare(ofTeam) - (shares[2]?.[1] ?? 0));
      t.ok(difference < 0.1, `equal teams are served alike, ${difference} apart`);
    }
    t.ok(queued.overruns <= today.overruns, "targets are not overrun more often");
    t.ok(queued.busyMs > today.busyMs * 0.99, `no slots stay idle: ${queued.busyMs / today.busyMs}`);
    for (const quarter of [0, 1, 2, 3]) {
      const isOf = (arrival: Arrival): boolean =>
        arrival.priority < 2 && Math.floor((arrival.gateway * 4) / gateways) === quarter;
      const [before = 0, after = 0] = [today, queued].map((fleet) => getServedShare(select(fleet, isOf)));
      t.ok(Number.isNaN(before) || after >= before, `gateways of quarter ${quarter}: ${after} served`);
    }
    t.end();
  });

  // Guards against requests that the queue holds or rejects although a slot is free.
  t.test(`in calm, nobody is served worse by ${gateways} gateways with a queue`, (t) => {
    const arrivals = createArrivals(gateways, createRoutes(0.75, 1));
    const today = play(gateways, arrivals, false);
    const queued = play(gateways, arrivals, true);
    for (const priority of [0, 1, 2]) {
      const [before = [], after = []] = [today, queued].map(({ results }) =>
        results.filter(({ arrival }) => arrival.priority === priority),
      );
      t.ok(getServedShare(after) >= getServedShare(before), `priority ${priority} is served`);
      t.ok(
        getTimelyShare(after) >= getTimelyShare(before) - 0.01,
        `in time: ${getTimelyShare(after)}, ${getTimelyShare(before)} without a queue`,
      );
    }
    t.end();
  });

  // Guards against rejections during a peak that a short wait would have bridged.
  t.test(`a short peak at ${gateways} gateways harms no more requests with a queue`, (t) => {
    const playPeak = (requests: number, hasQueue: boolean): readonly Served[] => {
      const peak = Array.from({ length: requests }, (_, index) => ({
        atMs: 6000 + index,
        gateway: index % gateways,
        priority: 1,
        team: "t0",
        waitLimitMs: 200,
        slotMs: 800,
      }));
      const arrivals = [...createArrivals(gateways, createRoutes(0.7, 1)), ...peak];
      return play(gateways, arrivals, hasQueue).results;
    };
    t.equal(getServedShare(playPeak(peaks.small, true)), 1, "nothing is rejected while the slots suffice");
    const [before = 0, after = 0] = [false, true].map((hasQueue) =>
      getTimelyShare(playPeak(peaks.large, hasQueue)),
    );
    t.ok(after >= before, `in time: ${after}, ${before} without a queue`);
    t.end();
  });

  // Guards against a wait limit that decides instead of the objective when all routes have one priority.
  t.test(`objectives alone change nothing for the worse at ${gateways} gateways`, (t) => {
    const routes = createRoutes(1.1, 1).map((route) => ({ ...route, priority: 0 }));
    const arrivals = createArrivals(gateways, routes);
    const [before = 0, after = 0] = [false, true].map((hasQueue) =>
      getTimelyShare(play(gateways, arrivals, hasQueue).results),
    );
    t.ok(after >= before, `in time: ${after}, ${before} without a queue`);
    t.end();
  });
}
