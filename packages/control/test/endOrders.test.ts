import fc from "fast-check";
import { decode, encode } from "cbor-x";
import { Right } from "purify-ts/Either";
import t from "tap";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { EndOutcome } from "../ends/EndOutcome";
import { EndRecorder } from "../ends/EndRecorder";
import { TargetReports } from "../ends/TargetReports";
import { RouteStateMachine } from "../routes/RouteStateMachine";
import { createTargetRecord } from "./createTargetRecord";

enum StepKind {
  Heartbeat = "heartbeat",
  Drain = "drain",
  Remove = "remove",
  Late = "late",
  Exchange = "exchange",
  RestartOne = "restartOne",
  RestartAll = "restartAll",
  CatchUp = "catchUp",
  Pass = "pass",
}

interface Step {
  readonly kind: StepKind;
  /** Coordinator that is called. */
  readonly at: number;
  /** Target, stored heartbeat or other coordinator, modulo their number. */
  readonly pick: number;
}

const startMs = 1_800_000_000_000;
const coordinatorCount = 3;
/** Offsets of the targets' clocks; with that of the leader they differ by at most 5 s. */
const targetOffsetsMs = [0, 2500, -2500];
const coordinatorOffsetsMs = [0, -2500, 2500];
/** An incarnation that lived for less than twice the largest difference of clocks cannot be told from the next one. */
const lifeMs = 11_000;
/** Late heartbeats are drawn from this many of the latest. */
const recentCount = 6;
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...Object.values(StepKind)),
  at: fc.nat(coordinatorCount - 1),
  pick: fc.nat(50),
});

/** Coordinators that share a log, as a model of one fleet. Commands are committed at once, and applied when they catch up. */
class Model {
  readonly #log: Uint8Array[] = [];
  #timeMs = 0;
  readonly #sent: TargetRecord[] = [];
  readonly #targets = targetOffsetsMs.map((offsetMs, at) => this.#startTarget(at, offsetMs));
  /** Start of the latest incarnation of which an end was acknowledged, by id. */
  readonly #endedBornMs = new Map<string, number>();
  readonly #coordinators = coordinatorOffsetsMs.map((offsetMs) => this.#startCoordinator(offsetMs));

  constructor() {
    this.#catchUp();
  }

  async play({ kind, at, pick }: Step): Promise<void> {
    const coordinator = this.#coordinators[at]!;
    const place = pick % this.#targets.length;
    const target = this.#targets[place]!;
    switch (kind) {
      case StepKind.Heartbeat: {
        await this.#send(at, place, target.isDraining);
        const isListed = coordinator.registry
          .list(this.#timeMs)
          .some(({ bornMs }) => bornMs === target.bornMs);
        t.ok(!coordinator.reports.isCaughtUp || isListed, "a live incarnation is listed at once");
        break;
      }
      case StepKind.Drain:
        if (await this.#send(at, place, true)) {
          this.#endedBornMs.set(target.id, target.bornMs);
        }
        break;
      case StepKind.Remove:
        this.#timeMs += lifeMs;
        if (await coordinator.reports.remove(target.id)) {
          this.#endedBornMs.set(target.id, target.bornMs);
          this.#targets[place] = this.#startTarget(place, targetOffsetsMs[place]!);
        }
        break;
      case StepKind.Late: {
        const late = this.#sent.at(-1 - (pick % recentCount));
        if (late !== undefined) {
          await coordinator.reports.register(late);
        }
        break;
      }
      case StepKind.Exchange:
        for (const record of coordinator.registry.changedSince(0)) {
          this.#coordinators[pick % coordinatorCount]!.reports.receive(
            record.target,
            record.lastSeenAtMs,
            "peer",
          );
        }
        break;
      case StepKind.RestartOne:
        this.#coordinators[at] = this.#startCoordinator(coordinatorOffsetsMs[at]!);
        break;
      case StepKind.RestartAll:
        for (const [index, offsetMs] of coordinatorOffsetsMs.entries()) {
          this.#coordinators[index] = this.#startCoordinator(offsetMs);
        }
        break;
      case StepKind.CatchUp:
        this.#catchUp();
        break;
      case StepKind.Pass:
        this.#timeMs += pick * 500;
        break;
    }
  }

  /** Targets that a coordinator would let gateways use although their end was acknowledged. */
  findRestored(): string[] {
    return this.#coordinators.flatMap(({ registry, hasCaughtUp, catchUp }) => {
      if (hasCaughtUp()) {
        catchUp();
      }
      registry.expire(this.#timeMs);
      return registry
        .list(this.#timeMs)
        .filter(
          ({ id, bornMs, isDraining }) => !isDraining && bornMs <= (this.#endedBornMs.get(id) ?? -Infinity),
        )
        .map(({ id, bornMs }) => `${id} ${bornMs}`);
    });
  }

  #catchUp(): void {
    for (const { catchUp } of this.#coordinators) {
      catchUp();
    }
  }

  async #send(at: number, place: number, isDraining: boolean): Promise<boolean> {
    const target = this.#targets[place]!;
    const next = { ...target, sequence: target.sequence + 1, isDraining };
    this.#targets[place] = next;
    this.#sent.push(next);
    return this.#coordinators[at]!.reports.register(next);
  }

  #startTarget(at: number, offsetMs: number): TargetRecord {
    this.#timeMs += 1;
    const bornMs = startMs + this.#timeMs + offsetMs;
    return createTargetRecord({ id: `t-${at}`, address: `h:${at + 1}`, bornMs, sequence: 0 });
  }

  #startCoordinator(offsetMs: number) {
    const registry = new TargetRegistry();
    const createMachine = (): RouteStateMachine =>
      new RouteStateMachine((ends) => {
        ends.forEach((end) => {
          registry.end(end);
        });
      });
    let machine = createMachine();
    // Half of what was committed is in the snapshot with which the process starts.
    const snapshotIndex = Math.floor(this.#log.length / 2);
    this.#log.slice(0, snapshotIndex).forEach((entry) => machine.apply(decode(entry)));
    const snapshot = machine.createSnapshot();
    machine = createMachine();
    machine.restore(snapshot);
    let applied = snapshotIndex;
    let isCaughtUp = false;
    const catchUp = (): void => {
      for (; applied < this.#log.length; applied += 1) {
        machine.apply(decode(this.#log[applied]!));
      }
      isCaughtUp = true;
    };
    const clock = { monotonicMs: () => this.#timeMs, wallMs: () => startMs + this.#timeMs + offsetMs };
    const logger = createLogger("test", {});
    const recorder = new EndRecorder({
      group: {
        isLeader: true,
        propose: (command) => {
          this.#log.push(encode(command));
          catchUp();
          return Promise.resolve(Right(null));
        },
        getLeaderAddress: () => null,
        createNotLeaderError: () => {
          throw new Error("the model leads everywhere");
        },
      },
      ...{ table: machine.ends, targets: registry, links: new PeerLinks(undefined), clock, logger },
    });
    const reports = new TargetReports({
      targets: registry,
      ends: machine.ends,
      record: (report) => recorder.record(report),
      replicate: () => undefined,
      isCaughtUp: () => isCaughtUp,
      isComplete: () => true,
      isCurrent: () => isCaughtUp,
      outcomes: new Counters("ends", "outcome", Object.values(EndOutcome)),
      clock,
      logger,
    });
    return { registry, reports, hasCaughtUp: () => isCaughtUp, catchUp };
  }
}

// Guards against an order of calls, restarts and late heartbeats that brings back a target whose end was acknowledged.
t.test("no order of calls and restarts restores an ended target", async (t) => {
  const property = fc.asyncProperty(
    fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }),
    async (steps) => {
      const model = new Model();
      for (const step of steps) {
        await model.play(step);
        const restored = model.findRestored();
        if (restored.length > 0) {
          throw new Error(`restored: ${restored.join(", ")}`);
        }
      }
    },
  );
  await t.resolves(fc.assert(property, { seed: 44, numRuns: 1500 }));
});
