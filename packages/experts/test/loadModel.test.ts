import fc from "fast-check";
import t from "tap";
import type { GroupShape } from "@clementinemux/experts/GroupShape";
import { LoadModel } from "@clementinemux/experts/loads/LoadModel";
import { StragglerDetector } from "@clementinemux/experts/loads/StragglerDetector";
import type { RankReport } from "@clementinemux/experts/loads/RankReport";
import { RankAssessment } from "@clementinemux/experts/loads/RankAssessment";
import { ReportFault } from "@clementinemux/experts/loads/ReportFault";

const shape: GroupShape = {
  rankCount: 4,
  layerCount: 1,
  expertCount: 4,
  slotsPerRank: 2,
  expertBytes: 1,
  failureDomains: ["a", "a", "b", "b"],
};
const settings = { smoothingMs: 60_000, trendMs: 600_000, maxAgeMs: 60_000 };

function createReport(change: Partial<RankReport> = {}): RankReport {
  return {
    rank: 0,
    incarnation: "1",
    mapVersion: 3,
    measuredAtMs: 1000,
    windowMs: 1000,
    tokens: [[10, 20, 30, 40]],
    stepMs: 20,
    ...change,
  };
}

// Guards against an invalid report that enters the model, or that is dropped without being counted.
t.test("bad reports are dropped by reason", (t) => {
  const cases: [Partial<RankReport>, ReportFault][] = [
    [{ rank: 4 }, ReportFault.RankUnknown],
    [{ mapVersion: 2 }, ReportFault.MapVersion],
    [{ tokens: [[1, 2, 3]] }, ReportFault.Length],
    [{ tokens: [] }, ReportFault.Length],
    [{ tokens: [[1, 2, 3, -4]] }, ReportFault.Negative],
    [{ tokens: [[1, 2, 3, Number.NaN]] }, ReportFault.NotFinite],
    [{ windowMs: 0 }, ReportFault.Negative],
    [{ measuredAtMs: -70_000 }, ReportFault.TooOld],
    [{ measuredAtMs: 500 }, ReportFault.OutOfOrder],
    [{ incarnation: "0", measuredAtMs: 3000 }, ReportFault.OldIncarnation],
  ];
  for (const [change, fault] of cases) {
    const model = new LoadModel(shape, 3, settings);
    t.equal(model.addReport(createReport(), 2000), null);
    t.equal(model.addReport(createReport(change), 2000), fault);
    t.equal(model.faultCounts.get(fault), 1);
    t.same(model.droppedReports, [{ fault, rank: change.rank ?? 0, atMs: 2000 }]);
  }
  t.end();
});

// Guards against a missing rank that lowers the load of the group, or that is not reported as missing.
t.test("missing ranks are extrapolated and reported", (t) => {
  const model = new LoadModel(shape, 3, settings);
  for (const rank of [0, 1, 2]) {
    model.addReport(createReport({ rank }), 1000);
  }
  model.update(1000);
  const { loads, coverage } = model.forecast(1000, 1000);
  t.same(
    Array.from(loads[0] ?? [], (load) => Math.round(load)),
    [40, 80, 120, 160],
  );
  t.equal(coverage, 0.75);
  t.equal(model.droppedReports[0]?.rank, 3);
  t.equal(model.faultCounts.get(ReportFault.Missing), 1);
  t.end();
});

// Guards against forecasts that ignore a steady drift, and against an error estimate that keeps its initial
// value.
t.test("forecast follows drift", (t) => {
  const model = new LoadModel(shape, 3, settings);
  let nowMs = 0;
  for (let step = 0; step < 120; step += 1) {
    nowMs += 10_000;
    const rising = 100 + step;
    for (const rank of [0, 1, 2, 3]) {
      const tokens = [[rising, 400 - rising, 100, 100]];
      model.addReport(createReport({ rank, tokens, measuredAtMs: nowMs }), nowMs);
    }
    model.update(nowMs);
    model.forecast(nowMs, nowMs + 60_000);
  }
  const { loads, errorShare } = model.forecast(nowMs, nowMs + 60_000);
  const expected = 4 * 225;
  t.ok(Math.abs((loads[0]?.[0] ?? 0) - expected) < expected * 0.03, String(loads[0]?.[0]));
  t.ok(errorShare < 0.05, String(errorShare));
  t.end();
});

// Guards against forecasts that are negative, or whose sum differs from the traffic, for any reports.
t.test("forecasts stay within the traffic", (t) => {
  const arbitraryTokens = fc.array(fc.array(fc.nat(1000), { minLength: 4, maxLength: 4 }), { minLength: 1 });
  const check = fc.property(arbitraryTokens, (windows) => {
    const model = new LoadModel(shape, 3, settings);
    for (const [index, tokens] of windows.entries()) {
      const measuredAtMs = (index + 1) * 10_000;
      model.addReport(createReport({ tokens: [tokens], measuredAtMs }), measuredAtMs);
      model.update(measuredAtMs);
    }
    const [loads] = model.forecast(0, 1e6).loads;
    const sum = loads?.reduce((total, load) => total + load, 0) ?? -1;
    const last = 4 * (windows.at(-1)?.reduce((total, count) => total + count, 0) ?? 0);
    return loads?.every((load) => load >= 0) === true && Math.abs(sum - last) <= 1e-6 * (1 + last);
  });
  t.doesNotThrow(() => {
    fc.assert(check, { seed: 20_102, numRuns: 300 });
  });
  t.end();
});

function assessTimes(stepMs: readonly number[], loads: readonly number[], windows: number) {
  const detector = new StragglerDetector(stepMs.length);
  const reported: number[] = [];
  let advice = detector.assess(new Map());
  for (let window = 0; window < windows; window += 1) {
    advice = detector.assess(
      new Map(stepMs.map((time, rank) => [rank, { incarnation: "1", stepMs: time, load: loads[rank] ?? 0 }])),
    );
    reported.push(...advice.reportForReplacement);
  }
  return { advice, reported };
}

// Guards against moving experts off a straggler, and against replacing a rank that is slow because of hot
// experts.
t.test("straggler is distinguished from hot experts", (t) => {
  const slow = assessTimes([10, 10, 14, 10, 10], [100, 100, 100, 100, 100], 20);
  t.equal(slow.advice.assessments[2], RankAssessment.SlowRank);
  t.same(slow.reported, [2], "reported once");
  t.equal(slow.advice.suggestDrain, false);
  const hot = assessTimes([10, 10, 14, 10, 10], [100, 100, 140, 100, 100], 20);
  t.equal(hot.advice.assessments[2], RankAssessment.ExpertLoad);
  t.same(hot.reported, []);
  t.end();
});

// Guards against reporting a rank after a single pause, and against keeping a group that waits for a stalled
// rank.
t.test("assessment needs repetition and severity", (t) => {
  t.same(assessTimes([10, 10, 30, 10], [1, 1, 1, 1], 4).reported, []);
  t.equal(assessTimes([10, 10, 30, 10], [1, 1, 1, 1], 20).advice.suggestDrain, true);
  t.end();
});
