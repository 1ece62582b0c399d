import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import type { Random } from "@clementinemux/common/Random";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { MapVersionAllocator } from "@clementinemux/experts/hold/MapVersionAllocator";
import { SimulatedTime } from "@clementinemux/experts/test/SimulatedTime";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import type { ActivateRequest } from "@clementinemux/ranker/ActivateRequest";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { GroupController } from "../ranks/GroupController";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { DelayedRankChannel } from "./DelayedRankChannel";
import { StandInRankChannel } from "./StandInRankChannel";
import { ShiftingDemand } from "./ShiftingDemand";
import { StandInProcess } from "./StandInProcess";
import { expertParameters } from "./expertParameters";

const seeds = 200;
const ranks = 4;
const leaders = 5;
/** Time from one leader to the next: at least `minTermMs`, plus a random share of `termSpreadMs`. */
const minTermMs = 400;
const termSpreadMs = 2600;
/** Time for which a replaced leader still starts new steps; its current step is always completed. */
const maxOverlapMs = 800;
const maxStallMs = 2500;
/** Time for which a leader waits for the process to which it has delegated an activation. */
const activateTimeoutMs = 70;
const minRecoveryMs = 1500;
const recoverySpreadMs = 10_000;
const logger = createLogger("test", {});

/** A group with successive leaders in simulated time. */
class OverlapScenario {
  readonly group: StandInGroup;
  readonly #time: SimulatedTime;
  readonly #random: Random;
  readonly #demand: ShiftingDemand;
  readonly #channels: readonly StandInRankChannel[];
  readonly #hasActivator: boolean;
  readonly #activatedMaps = new Set<string>();
  #isOver = false;

  constructor(seed: number) {
    this.#random = createRandom(seed);
    const passMs = seed % 2 === 0 ? 60 : 145;
    this.group = new StandInGroup({ ranks, random: this.#random, lateShare: 0, passMs });
    this.#time = new SimulatedTime(this.group);
    this.#demand = new ShiftingDemand(expertParameters.expertsPerSet, ranks, this.#random);
    this.#channels = this.group.ranks.map((_, rank) => new StandInRankChannel(this.group, rank));
    this.#hasActivator = seed % 3 !== 0;
  }

  get activatedMaps(): number {
    return this.#activatedMaps.size;
  }

  async run(): Promise<void> {
    void this.#recoverRepeatedly();
    await this.#time.run(this.#runLeaders());
    this.#isOver = true;
  }

  /** Starts one leader after another; each may overlap with its successor. */
  async #runLeaders(): Promise<void> {
    const works: Promise<void>[] = [];
    for (let term = 2; term < 2 + leaders; term += 1) {
      const termMs = minTermMs + this.#random() * termSpreadMs;
      const untilMs = this.group.nowMs + termMs + this.#random() * maxOverlapMs;
      const process = this.#createProcess();
      works.push(this.#lead(term, process, untilMs));
      await this.#time.sleep(termMs);
      if (this.#random() < 0.5) {
        process.stall(this.#random() * maxStallMs);
      }
    }
    await Promise.all(works);
  }

  async #lead(term: number, process: StandInProcess, untilMs: number): Promise<void> {
    const channels = this.#createChannels(process);
    const controller = new GroupController({
      group: "g",
      parameters: expertParameters,
      term,
      fences: FencingTokens.ofTerm(term),
      getGapObjectiveMs: () => 0,
      activate: (request) => this.#activate(request, process),
      clock: { monotonicMs: () => this.group.nowMs, wallMs: () => this.group.nowMs },
      metrics: new CoordinatorMetrics(),
      logger,
    });
    while (this.group.nowMs < untilMs) {
      this.#channels[0]!.counts = this.#demand.getCounts(this.group.nowMs);
      const inspections = channels.map((channel) => channel.inspect(term, InspectionPart.Counts));
      await controller.step(channels, await Promise.all(inspections));
      this.#noteMap();
      await process.sleep(controller.nextStepMs);
    }
  }

  /** Sends the orders of an activation as `MapActivator` does, from another process than the leader's. */
  async #activate(request: ActivateRequest, leader: StandInProcess): Promise<boolean> {
    if (!this.#hasActivator) {
      return false;
    }
    const { fence, version, epoch, leadSteps, states } = request;
    const channels = this.#createChannels(this.#createProcess());
    const term = FencingTokens.getTerm(fence);
    const activation = new GroupActivation({
      inspect: async (rank) =>
        (await channels[rank]?.inspect(term, InspectionPart.None))?.state ??
        channels[rank]?.inspectDirectly() ??
        null,
      order: async (order, rankFence) =>
        order.kind === HoldOrderKind.Prepare
          ? false
          : ((await channels[order.rank]?.order(rankFence, order)) ?? null),
      tokens: new FencingTokens(fence),
      nowMs: () => this.group.nowMs,
      reservedVersion: new MapVersionAllocator(term).reserved,
      leadSteps,
    });
    activation.setDesiredMap({ version, epoch, hosting: [] });
    const work = activation.advance(states).then(() => !activation.hasUnacknowledgedOrders);
    const isDone = await Promise.race([work, this.#time.sleep(activateTimeoutMs).then(() => false)]);
    await leader.sleep(1);
    return isDone;
  }

  async #recoverRepeatedly(): Promise<void> {
    while (!this.#isOver) {
      await this.#time.sleep(minRecoveryMs + this.#random() * recoverySpreadMs);
      this.group.recover();
    }
  }

  #noteMap(): void {
    const [first] = this.group.ranks;
    if (first !== undefined && this.group.ranks.every(({ mapVersion }) => mapVersion === first.mapVersion)) {
      if (first.mapVersion > 0) {
        this.#activatedMaps.add(`${first.epoch}/${first.mapVersion}`);
      }
    }
  }

  #createProcess(): StandInProcess {
    return new StandInProcess(this.group, this.#time, this.#random);
  }

  #createChannels(process: StandInProcess): DelayedRankChannel[] {
    const [time, random] = [this.#time, this.#random];
    return this.#channels.map((channel) => new DelayedRankChannel({ channel, process, time, random }));
  }
}

// Guards against ranks with different maps in one pass while a replaced leader is still active.
t.test("maps never mix when leaders of successive terms overlap", async (t) => {
  let activated = 0;
  for (let seed = 1; seed <= seeds; seed += 1) {
    const scenario = new OverlapScenario(seed);
    await scenario.run();
    const { mixedPasses, mixedPassesOfOneVersion: collidedPasses } = scenario.group;
    t.equal(mixedPasses, 0, `seed ${seed}, of which with one version: ${collidedPasses}`);
    activated += scenario.activatedMaps;
  }
  t.ok(activated > 2 * seeds, `${activated} maps activated`);
});
