import t from "tap";
import { DemandMonitor } from "@clementinemux/experts/hold/DemandMonitor";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";

const ranks = 4;
const experts = 8;
const pollMs = 120;
const hotChoices = 4000;
const coldChoices = 100;
const present = createRoundRobinHosting(1, experts, ranks);
const slowdowns = new Array<number>(ranks).fill(1);

// Guards against a map for outdated demand: the choices during a gap of seconds outweigh those of all other
// ranks.
t.test("choices during a gap of a rank's reports are ignored", (t) => {
  const monitor = new DemandMonitor({ layerSets: 1, expertsPerSet: experts });
  const counts = new Array<number>(experts).fill(0);
  const poll = (hotExpert: number, nowMs: number, responding: readonly number[]) => {
    counts.forEach((count, expert) => {
      counts[expert] = count + (expert === hotExpert ? hotChoices : coldChoices);
    });
    monitor.add(
      responding.map((rank) => ({ rank, epoch: 1, counts: [...counts] })),
      nowMs,
    );
    return monitor.review(present, slowdowns);
  };
  const [all, others] = [
    [0, 1, 2, 3],
    [0, 1, 2],
  ];
  let nowMs = 0;
  for (; nowMs < 1200; nowMs += pollMs) {
    poll(0, nowMs, all);
  }
  for (; nowMs < 6000; nowMs += pollMs) {
    poll(0, nowMs, others);
  }
  for (; nowMs < 9000; nowMs += pollMs) {
    poll(5, nowMs, others);
  }
  const loads = poll(5, nowMs, all);
  t.equal(monitor.isShifting, false, "no shift is suspected");
  t.ok(loads !== null);
  const [set = new Float64Array(0)] = loads ?? [];
  t.ok((set[0] ?? 0) < 0.1 * (set[5] ?? 0), `loads ${set.map(Math.round).join()}`);
  const later = poll(5, nowMs + pollMs, all);
  t.ok((later?.[0]?.[5] ?? 0) > (set[5] ?? 0), "the choices of the returned rank count again");
  t.end();
});
