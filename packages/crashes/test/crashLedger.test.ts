import t from "tap";
import { CrashLedger } from "@clementinemux/crashes/CrashLedger";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";

const nothing: CrashEvidence = { reports: [], answered: [], suspicions: [] };
/** Later than the attribution of a crash at 0, with the time for the answers of all gateways. */
const attributedMs = 1300;

function report(ledger: CrashLedger, id: string, atMs: number, parts: readonly string[]): void {
  ledger.merge({ ...nothing, reports: [{ target: { id, bornMs: 1 }, ageMs: 0, parts }] }, atMs);
}

function clear(ledger: CrashLedger, part: string, atMs: number): void {
  ledger.merge({ ...nothing, answered: [{ part, ageMs: 0 }] }, atMs);
}

function listSuspects(ledger: CrashLedger, nowMs: number): string[] {
  ledger.review(nowMs);
  const { suspicions } = ledger.getFindings(nowMs);
  return suspicions.filter(({ isLifted }) => !isLifted).map(({ part }) => part);
}

// Guards against a part that has to crash a rank group several times before it is suspected.
t.test("one crash shows the only part that nobody has seen answered", (t) => {
  const ledger = new CrashLedger();
  report(ledger, "t-1", 0, ["shared", "poison"]);
  t.same(ledger.getFindings(0).watched, ["shared", "poison"], "the gateways are asked for both");
  clear(ledger, "shared", 200);
  t.same(listSuspects(ledger, 300), [], "not before all gateways have answered");
  t.same(listSuspects(ledger, attributedMs), ["poison"]);
  t.end();
});

// Guards against sound requests that are turned away since many of them were at a target that crashed.
t.test("a crash with many unanswered parts shows none of them, two crashes show the common one", (t) => {
  const ledger = new CrashLedger();
  report(ledger, "t-1", 0, ["a", "b", "c", "d", "poison"]);
  t.same(listSuspects(ledger, attributedMs), []);
  report(ledger, "t-2", 4000, ["e", "f", "g", "h", "poison"]);
  t.same(listSuspects(ledger, 4000 + attributedMs), ["poison"]);
  t.end();
});

// Guards against a suspicion of parts in wide use by targets that crash by themselves, one by one or together.
t.test("crashes without a cause in the requests take no answered part away", (t) => {
  const ledger = new CrashLedger();
  for (let crash = 0; crash < 10; crash += 1) {
    const atMs = crash * 5000;
    clear(ledger, "shared", atMs - 1000);
    clear(ledger, "rare", 0);
    ["t-1", "t-2", "t-3"].forEach((id) => {
      report(ledger, `${id}-${crash}`, atMs, crash % 3 === 0 ? ["shared", "rare"] : ["shared"]);
    });
    t.same(listSuspects(ledger, atMs + attributedMs), []);
    clear(ledger, "rare", atMs + 2500);
  }
  t.end();
});

// Guards against a part that is never suspected because it was sound in the past.
t.test("a part that was answered before and begins to crash targets is suspected when few are left", (t) => {
  const ledger = new CrashLedger();
  const parts = ["poison", "a", "b", "c"];
  parts.forEach((part) => {
    clear(ledger, part, 9000);
  });
  report(ledger, "t-1", 10_000, parts);
  t.same(listSuspects(ledger, 10_000 + attributedMs), []);
  clear(ledger, "b", 13_000);
  clear(ledger, "c", 13_000);
  report(ledger, "t-2", 14_000, parts);
  t.same(listSuspects(ledger, 14_000 + attributedMs), ["poison", "a"]);
  clear(ledger, "a", 16_000);
  t.same(listSuspects(ledger, 16_000), ["poison"], "the first answer lifts the other suspicion");
  t.end();
});

// Guards against the parts that such a request shares with sound ones, and against crashes with one cause that count twice.
t.test("a crash at which a suspect was present says nothing of other parts", (t) => {
  const ledger = new CrashLedger();
  report(ledger, "t-1", 0, ["poison"]);
  listSuspects(ledger, attributedMs);
  for (let crash = 2; crash < 8; crash += 1) {
    const atMs = crash * 4000;
    report(ledger, `t-${crash}`, atMs, ["poison", "new"]);
    t.same(listSuspects(ledger, atMs + attributedMs), ["poison"]);
  }
  t.end();
});

// Guards against a second part that crashes targets and hides behind the first one.
t.test("two parts that crash targets are both found", (t) => {
  const ledger = new CrashLedger();
  report(ledger, "t-1", 0, ["poison-1", "poison-2"]);
  t.same(listSuspects(ledger, attributedMs), ["poison-1", "poison-2"], "at one target");
  report(ledger, "t-2", 8000, ["poison-3"]);
  t.same(
    listSuspects(ledger, 8000 + attributedMs),
    ["poison-1", "poison-2", "poison-3"],
    "one after the other",
  );
  t.end();
});

// Guards against a suspicion that outlives its refutation, at this coordinator or by a gateway that returns it.
t.test("an answer lifts a suspicion, and nobody brings it back", (t) => {
  const ledger = new CrashLedger();
  report(ledger, "t-1", 0, ["sound"]);
  listSuspects(ledger, attributedMs);
  const { suspicions } = ledger.getEvidence(attributedMs);
  clear(ledger, "sound", 3000);
  t.same(listSuspects(ledger, 3000), []);
  t.match(ledger.getFindings(3000).suspicions, [{ part: "sound", isLifted: true, leftMs: 0 }]);
  ledger.merge({ ...nothing, suspicions }, 3200);
  t.same(listSuspects(ledger, 3200), []);
  t.end();
});

// Guards against an answer from before the crash that lifts the suspicion.
t.test("an answer that is older than the suspicion does not lift it", (t) => {
  const ledger = new CrashLedger();
  report(ledger, "t-1", 40_000, ["poison"]);
  t.same(listSuspects(ledger, 40_000 + attributedMs), ["poison"]);
  ledger.merge({ ...nothing, answered: [{ part: "poison", ageMs: 35_000 }] }, 42_000);
  t.same(listSuspects(ledger, 42_000), ["poison"]);
  t.end();
});

// Guards against evidence that is lost with the coordinator that has attributed it.
t.test("a coordinator that has just started learns the suspicions from another one", (t) => {
  const first = new CrashLedger();
  report(first, "t-1", 0, ["poison"]);
  listSuspects(first, attributedMs);
  const second = new CrashLedger();
  second.merge(first.getEvidence(2000), 2000);
  t.same(listSuspects(second, 2000), ["poison"]);
  const third = new CrashLedger();
  third.merge({ ...nothing, suspicions: first.getEvidence(2000).suspicions }, 500);
  t.same(listSuspects(third, 500), ["poison"], "its clock starts anew");
  t.same(listSuspects(third, 40_000), [], "and the suspicion ends as it would have");
  t.end();
});

// Guards against a gateway's report that counts as another crash when it comes again, or by way of another coordinator.
t.test("one crash that is reported often counts once", (t) => {
  const ledger = new CrashLedger();
  for (let atMs = 0; atMs < 10_000; atMs += 200) {
    const target = { id: "t-1", bornMs: 1 };
    ledger.merge({ ...nothing, reports: [{ target, ageMs: atMs, parts: ["a", "b", "c", "d"] }] }, atMs);
    t.same(listSuspects(ledger, atMs), []);
  }
  t.end();
});

// Guards against a crash that counts again, when one coordinator has forgotten it and another one has not.
t.test("coordinators that exchange a crash for long count it once", (t) => {
  const ledgers = [new CrashLedger(), new CrashLedger(), new CrashLedger()];
  const transitMs = 90;
  ledgers.forEach((ledger, index) => {
    report(ledger, "t-1", index * transitMs, ["poison"]);
  });
  for (let atMs = 300; atMs < 29_000; atMs += 200) {
    for (const [index, ledger] of ledgers.entries()) {
      const evidence = ledger.getEvidence(atMs);
      ledgers.forEach((other, to) => {
        if (to !== index) {
          other.merge(evidence, atMs + transitMs);
        }
      });
      ledger.review(atMs);
    }
  }
  for (const ledger of ledgers) {
    t.match(ledger.getFindings(29_000).suspicions, [{ part: "poison", crashes: 1 }]);
  }
  t.end();
});

// Guards against memory that callers can fill with parts of their own, and against the loss of what was learned.
t.test("a million parts at crashes neither fill the memory nor displace a suspect", (t) => {
  const ledger = new CrashLedger();
  report(ledger, "t-0", 0, ["poison"]);
  listSuspects(ledger, attributedMs);
  for (let crash = 1; crash <= 1000; crash += 1) {
    const parts = Array.from({ length: 1000 }, (_, index) => `${crash}-${index}`);
    report(ledger, `t-${crash}`, attributedMs + crash, parts);
  }
  ledger.review(10_000);
  const { reports, suspicions } = ledger.getEvidence(10_000);
  t.ok(reports.reduce((sum, { parts }) => sum + parts.length, 0) <= 64 * 64);
  t.same(
    suspicions.map(({ part }) => part),
    ["poison"],
  );
  t.ok(ledger.getFindings(10_000).watched.length <= 256);
  t.end();
});
