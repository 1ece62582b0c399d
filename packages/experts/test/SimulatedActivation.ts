import type { Random } from "@clementinemux/common/Random";
import type { GroupShape } from "@clementinemux/experts/GroupShape";
import { LeaderActivation } from "@clementinemux/experts/activation/LeaderActivation";
import { LeaderActionKind } from "@clementinemux/experts/activation/LeaderActionKind";
import { RankActivation } from "@clementinemux/experts/activation/RankActivation";
import type { RankOrder } from "@clementinemux/experts/activation/RankOrder";
import type { RankStatus } from "@clementinemux/experts/activation/RankStatus";
import { MapDecision } from "@clementinemux/messages/MapDecision";

type Message = () => void;

interface WorldRank {
  activation: RankActivation;
  /** Loaded map by version; a rank that joins copies its first one from the others. */
  contents: Map<number, string>;
  incarnation: string;
  isFrozen: boolean;
}

interface WorldLeader {
  readonly activation: LeaderActivation;
  readonly epoch: number;
  isFrozen: boolean;
  /** Newest incarnation of each rank of which the leader has received a status. */
  readonly seenIncarnations: Map<number, string>;
  /** Armed maps that ranks have reported to the leader, as "rank incarnation version". */
  readonly reportedArms: Set<string>;
  readonly sentDecisions: Set<number>;
}

const leaseMs = 600;
const orderMaxAgeMs = 200;
const shape: GroupShape = {
  rankCount: 3,
  layerCount: 1,
  expertCount: 3,
  slotsPerRank: 2,
  expertBytes: 1,
  failureDomains: ["a", "b", "c"],
};

/**
 * Ranks, leaders, control log and network in memory. Each fault is an explicit call; only `advance` moves the
 * time.
 */
export class SimulatedActivation {
  nowMs = 0;
  activatedCount = 0;
  completedSteps = 0;
  readonly violations: string[] = [];
  readonly #ranks: WorldRank[] = [];
  readonly #random: Random;
  /** Whether leaders ignore the end of their lease, to test the protection by epochs alone. */
  readonly #ignoreLeases: boolean;
  readonly #decisions = new Map<number, MapDecision>();
  #messages: Message[] = [];
  #leaders: WorldLeader[] = [];
  #epoch = 0;
  #leaseEndsAtMs = 0;
  #startCount = 0;
  #started = new Map<number, string>();

  constructor(random: Random, ignoreLeases: boolean) {
    this.#random = random;
    this.#ignoreLeases = ignoreLeases;
    for (let rank = 0; rank < shape.rankCount; rank += 1) {
      this.#ranks.push(this.#startRank(rank));
    }
  }

  advance(ms: number): void {
    this.nowMs += ms;
  }

  deliver(mode: "keep" | "drop" | "once"): void {
    const index = this.#pick(this.#messages.length);
    const message = this.#messages[index];
    if (mode !== "keep") {
      this.#messages.splice(index, 1);
    }
    if (mode !== "drop") {
      message?.();
    }
  }

  deliverAll(): void {
    const messages = this.#messages;
    this.#messages = [];
    for (const message of messages) {
      message();
    }
  }

  sendStatuses(): void {
    for (const [rank, { activation, isFrozen }] of this.#ranks.entries()) {
      if (!isFrozen) {
        this.#sendStatus(rank, activation);
      }
    }
  }

  /** Delivers the response of the weight store. To simulate a lost response, don't call this. */
  finishLoads(rank: number): void {
    const { activation } = this.#ranks[rank]!;
    if (activation.mapToLoad !== null) {
      this.#ranks[rank]!.contents.set(activation.mapToLoad.version, JSON.stringify(activation.mapToLoad));
      activation.setLoaded(activation.mapToLoad.version);
    }
  }

  /** Starts the group's step on each rank that may start it; the step ends when all ranks have started it. */
  runStep(): void {
    for (const [rank, { activation, isFrozen }] of this.#ranks.entries()) {
      const version = isFrozen || this.#started.has(rank) ? null : activation.getNextVersion();
      if (version !== null) {
        activation.startStep();
        this.#started.set(rank, this.#getContent(rank, version));
      }
    }
    if (new Set(this.#started.values()).size > 1) {
      this.violations.push(`step ${this.completedSteps}: maps ${[...this.#started.values()].join(" ")}`);
    }
    if (this.#started.size === shape.rankCount) {
      this.completedSteps += 1;
      this.#started = new Map();
    }
  }

  crashRank(rank: number): void {
    this.#ranks[rank] = this.#startRank(rank);
    this.#started = new Map();
    for (const { activation } of this.#ranks) {
      activation.setStep(this.completedSteps);
    }
  }

  toggleRank(rank: number): void {
    const member = this.#ranks[rank]!;
    member.isFrozen = !member.isFrozen;
  }

  stepLeaders(): void {
    for (const leader of this.#leaders.filter(({ isFrozen }) => !isFrozen)) {
      for (const action of leader.activation.step(this.nowMs)) {
        if (action.kind === LeaderActionKind.SendOrder) {
          this.#sendOrder(leader, action.order);
        } else {
          this.#sendDecision(leader, action.version, action.decision);
        }
      }
    }
  }

  /** Renews the current leader's lease, or elects a new leader if the lease has ended. */
  renewOrElect(): void {
    const present = this.#leaders.find(({ epoch }) => epoch === this.#epoch);
    const hasEnded = this.#ignoreLeases ? this.#random() < 0.3 : this.nowMs >= this.#leaseEndsAtMs;
    if (!hasEnded && present !== undefined && !present.isFrozen) {
      this.#leaseEndsAtMs = this.nowMs + leaseMs;
      present.activation.renewLease(this.#getLeaseEnd());
    } else if (hasEnded) {
      this.#elect();
    }
  }

  crashLeader(): void {
    this.#leaders.splice(this.#pick(this.#leaders.length), 1);
  }

  toggleLeader(): void {
    const leader = this.#leaders[this.#pick(this.#leaders.length)];
    if (leader !== undefined) {
      leader.isFrozen = !leader.isFrozen;
    }
  }

  propose(): void {
    for (const { activation, epoch } of this.#leaders.filter(({ isFrozen }) => !isFrozen)) {
      // Maps of different leaders differ, so that two different maps with the same version are detected.
      const first = { hosts: [[epoch % shape.rankCount], [1], [2]], shares: [[1], [1], [1]] };
      activation.propose({ version: activation.nextVersion, layers: [first] }, this.nowMs);
    }
  }

  thaw(): void {
    for (const member of [...this.#ranks, ...this.#leaders]) {
      member.isFrozen = false;
    }
  }

  /** A round in which a quarter of the messages is lost and another quarter remains in flight. */
  runLossyRound(): void {
    this.advance(40);
    this.sendStatuses();
    this.stepLeaders();
    const messages = this.#messages;
    this.#messages = [];
    for (const message of messages) {
      const roll = this.#random();
      if (roll < 0.5) {
        message();
      } else if (roll < 0.75) {
        this.#messages.push(message);
      }
    }
    this.runStep();
  }

  /** One exchange without loss. Without such rounds, random events rarely result in an activation. */
  runRound(): void {
    this.advance(40);
    if (!this.#ignoreLeases) {
      this.renewOrElect();
    }
    this.sendStatuses();
    this.deliverAll();
    this.stepLeaders();
    this.deliverAll();
    this.propose();
    for (const rank of this.#ranks.keys()) {
      this.finishLoads(rank);
    }
    this.runStep();
  }

  /** Ends all faults and checks that the group still activates a new map and runs steps. */
  recovers(): boolean {
    this.thaw();
    if (this.#ignoreLeases) {
      this.#leaders = [];
      this.#elect();
    }
    const before = { activated: this.activatedCount, steps: this.completedSteps };
    for (let round = 0; round < 400; round += 1) {
      this.runRound();
      if (this.activatedCount > before.activated + 1 && this.completedSteps > before.steps + 5) {
        return true;
      }
    }
    return false;
  }

  #getContent(rank: number, version: number): string {
    const own = this.#ranks[rank]?.contents;
    const others = this.#ranks.map(({ contents }) => contents.get(version));
    const content = own?.get(version) ?? others.find((other) => other !== undefined) ?? "";
    own?.set(version, content);
    return `${version} ${content}`;
  }

  #pick(count: number): number {
    return Math.floor(this.#random() * count);
  }

  #startRank(rank: number): WorldRank {
    this.#startCount += 1;
    const incarnation = String(this.#startCount).padStart(6, "0");
    const activation = new RankActivation({ rank, incarnation, shape, orderMaxAgeMs });
    activation.setStep(this.completedSteps);
    return { activation, incarnation, isFrozen: false, contents: new Map() };
  }

  #getLeaseEnd(): number {
    return this.#ignoreLeases ? Number.POSITIVE_INFINITY : this.#leaseEndsAtMs;
  }

  #elect(): void {
    this.#epoch += 1;
    this.#leaseEndsAtMs = this.nowMs + leaseMs;
    const settings = {
      shape,
      epoch: this.#epoch,
      decidedVersion: Math.max(0, ...this.#decisions.keys()),
      startAtMs: this.nowMs + orderMaxAgeMs,
      activationTimeoutMs: 1500,
      armMarginSteps: 2,
    };
    const activation = new LeaderActivation(settings, this.#getLeaseEnd());
    const leader = {
      activation,
      epoch: this.#epoch,
      isFrozen: false,
      seenIncarnations: new Map(),
      reportedArms: new Set<string>(),
      sentDecisions: new Set<number>(),
    };
    this.#leaders.push(leader);
  }

  #sendStatus(rank: number, activation: RankActivation): void {
    const status = activation.getStatus(this.nowMs);
    for (const leader of this.#leaders) {
      this.#messages.push(() => {
        this.#receiveStatus(leader, rank, status);
      });
    }
  }

  #receiveStatus(leader: WorldLeader, rank: number, status: RankStatus): void {
    const { incarnation } = status.stamp;
    if (incarnation >= (leader.seenIncarnations.get(rank) ?? "")) {
      leader.seenIncarnations.set(rank, incarnation);
    }
    if (status.armed !== null) {
      leader.reportedArms.add(`${rank} ${incarnation} ${status.armed.version}`);
    }
    leader.activation.handleStatus(status);
  }

  #sendOrder(leader: WorldLeader, order: RankOrder): void {
    this.#messages.push(() => {
      const { activation, isFrozen } = this.#ranks[order.rank]!;
      if (!isFrozen) {
        activation.handle(order, this.nowMs);
        this.#sendStatus(order.rank, activation);
      }
    });
  }

  #sendDecision(leader: WorldLeader, version: number, decision: MapDecision): void {
    // Only the first attempt is checked: a decision is retried unchanged, whatever happens later.
    const isRetry = leader.sentDecisions.has(version);
    leader.sentDecisions.add(version);
    const isConfirmed = [...this.#ranks.keys()].every((rank) =>
      leader.reportedArms.has(`${rank} ${leader.seenIncarnations.get(rank)} ${version}`),
    );
    if (decision === MapDecision.Activate && !isRetry && !isConfirmed) {
      this.violations.push(
        `version ${version}: activated although the last reported incarnations are not all armed`,
      );
    }
    this.#messages.push(() => {
      this.#decide(leader, version, decision);
    });
  }

  #decide(leader: WorldLeader, version: number, decision: MapDecision): void {
    if (leader.epoch < this.#epoch) {
      return;
    }
    if (!this.#decisions.has(version)) {
      this.#decisions.set(version, decision);
      this.activatedCount += decision === MapDecision.Activate ? 1 : 0;
    }
    const finalDecision = this.#decisions.get(version)!;
    this.#messages.push(() => {
      leader.activation.handleDecision(version, finalDecision);
    });
  }
}
