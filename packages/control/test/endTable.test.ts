import { decode, encode } from "cbor-x";
import t from "tap";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { EndState } from "../ends/EndState";
import { EndTable } from "../ends/EndTable";
import type { TargetEnd } from "../ends/TargetEnd";
import { RouteStateMachine } from "../routes/RouteStateMachine";
import { createTargetRecord } from "./createTargetRecord";

const nowMs = 1_800_000_000_000;
const minuteMs = 60_000;

function end(fields: Partial<TargetEnd> = {}): TargetEnd {
  return { id: "t-1", bornMs: 1000, isGone: true, sequence: 5, recordedAtWallMs: nowMs, ...fields };
}

function heartbeat(fields: Partial<TargetRecord> = {}): TargetRecord {
  return createTargetRecord({ bornMs: 1000, sequence: 9, ...fields });
}

// Guards against a late heartbeat that restores a target, and against an end that also refuses the next incarnation.
t.test("an end refuses its incarnation and earlier ones only", (t) => {
  const table = new EndTable();
  table.apply([end()]);
  t.equal(table.getState(heartbeat(), nowMs), EndState.Ended);
  t.equal(table.getState(heartbeat({ bornMs: 999 }), nowMs), EndState.Ended);
  t.equal(table.getState(heartbeat({ bornMs: 1001, sequence: 1 }), nowMs), EndState.Open);
  t.equal(table.getState(heartbeat({ id: "t-2" }), nowMs), EndState.Open);
  t.end();
});

// Guards against a late `ready` that undoes a drain, and against a drain that its target cannot take back.
t.test("a drain holds against heartbeats sent before it", (t) => {
  const table = new EndTable();
  table.apply([end({ isGone: false })]);
  t.equal(table.getState(heartbeat({ sequence: 4 }), nowMs), EndState.Draining);
  t.equal(table.getState(heartbeat({ sequence: 6 }), nowMs), EndState.Open);
  table.apply([end({ isGone: true, sequence: 0 }), end({ isGone: false, sequence: 8 })]);
  t.equal(table.getState(heartbeat(), nowMs), EndState.Ended, "a drain does not undo a removal");
  t.end();
});

// Guards against ends that are dropped after a step of the clock or a long outage, and against targets that are refused for ever.
t.test("an end holds for ten minutes, for one without a start time", (t) => {
  const table = new EndTable();
  table.apply([end(), end({ id: "t-2", bornMs: 0 })]);
  t.equal(table.getState(heartbeat(), nowMs - 2000), EndState.Ended, "clock set back");
  t.equal(table.getState(heartbeat(), nowMs + 9 * minuteMs), EndState.Ended);
  t.equal(table.getState(heartbeat(), nowMs + 11 * minuteMs), EndState.Open);
  t.equal(table.getState(heartbeat({ id: "t-2", bornMs: 0 }), nowMs + 59_000), EndState.Ended);
  t.equal(table.getState(heartbeat({ id: "t-2", bornMs: 0 }), nowMs + 61_000), EndState.Open);
  t.equal(table.getState(heartbeat({ bornMs: 0 }), nowMs + 61_000), EndState.Open);
  table.apply([end({ id: "t-3", recordedAtWallMs: nowMs + 11 * minuteMs })]);
  t.equal(table.size, 1, "guards against a snapshot that grows without bound");
  t.end();
});

// Guards against a disk that fills with ends.
t.test("the oldest ends are dropped beyond the limit", (t) => {
  const table = new EndTable();
  table.apply(Array.from({ length: 24_001 }, (_, at) => end({ id: `t-${at}` })));
  t.equal(table.size, 24_000);
  t.equal(table.getState(heartbeat({ id: "t-0" }), nowMs), EndState.Open);
  t.equal(table.getState(heartbeat({ id: "t-1" }), nowMs), EndState.Ended);
  t.end();
});

// Guards against a release that cannot load the files of the earlier one, and against ends that a snapshot loses.
t.test("snapshots keep ends, and those of the earlier release load", (t) => {
  const restored: TargetEnd[] = [];
  const machine = new RouteStateMachine((ends) => restored.push(...ends));
  machine.restore(encode({ version: 7, bytes: Buffer.from("x") }));
  t.match([machine.version, machine.ends.size], [7, 0]);
  machine.apply({ version: 0, bytes: new Uint8Array(), ends: [end()] });
  t.equal(machine.version, 7);
  const next = new RouteStateMachine((ends) => restored.push(...ends));
  next.restore(machine.createSnapshot());
  t.equal(next.ends.getState(heartbeat(), nowMs), EndState.Ended);
  t.same(restored, [end(), end()], "both are passed on to the registry");
  next.restore(encode({ version: 8, bytes: Buffer.from("y") }));
  t.match([next.version, next.ends.size], [8, 1], "a snapshot of an earlier leader");
  const { version, bytes } = decode(machine.createSnapshot()) as { version: number; bytes: Uint8Array };
  t.same([version, Buffer.from(bytes).toString()], [7, "x"], "what an earlier release reads");
  t.end();
});
