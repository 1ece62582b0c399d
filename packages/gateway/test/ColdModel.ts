import type { Random } from "@clementinemux/common/Random";
import { FleetLimiter } from "@clementinemux/control/limits/FleetLimiter";
import { ColdTargets } from "@clementinemux/gateway/ColdTargets";
import { TargetRamps } from "@clementinemux/gateway/TargetRamps";
import { chooseByFreeSlots } from "@clementinemux/gateway/chooseByFreeSlots";
import { ColdTable } from "@clementinemux/registry/ColdTable";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { createTargetRecord } from "../../control/test/createTargetRecord";

interface ColdModelOptions {
  readonly senders: number;
  readonly targets: number;
  /** Requests per second of all senders together. */
  readonly demandPerS: number;
  /** Longest time from the start of a cold time to the heartbeat that states it. */
  readonly maxHeartbeatMs: number;
  readonly random: Random;
}

interface Sender {
  readonly cold: ColdTargets;
  readonly ramps: TargetRamps;
  readonly own: number[];
  others: readonly number[];
  readonly freeAtMs: Map<string, number>;
  isCut: boolean;
}

const slots = 7;
const serviceMs = 250;
const coldServiceMs = 500;
const reportMs = 200;
/** With the interval of the reports, senders see each other up to 0.5 s late. */
const maxReportDelayMs = 300;
const maxCallDelayMs = 150;
const maxSendDelayMs = 100;
const maxAnswerMs = 400;
const permitValidMs = 100;
const waitMs = 200;
const maxCandidates = 8;
const maxWeightRatio = 3;

/** Senders, one leader at a time and targets that become cold, in simulated time; records what arrives at cold targets. */
export class ColdModel {
  nowMs = 0;
  served = 0;
  /** Times of arrival of all requests, and of those that found their target cold, by target. */
  readonly arrivals: number[][];
  readonly coldArrivals: number[][];
  /** What all senders are told of the targets; replaced as a whole when a target restarts. */
  #records: readonly TargetRecord[];
  readonly #options: ColdModelOptions;
  readonly #events = new Map<number, (() => void)[]>();
  readonly #senders: Sender[];
  readonly #inFlight: number[];
  readonly #coldUntilMs: number[];
  readonly #known = new ColdTable();
  #limiter: FleetLimiter | null = new FleetLimiter(new LimitTable());
  #term = 1;
  #sequence = 1;

  constructor(options: ColdModelOptions) {
    const { senders, targets, random } = options;
    this.#options = options;
    const indexes = Array.from({ length: targets }, (_, index) => index);
    this.#records = indexes.map((index) => createTargetRecord({ id: String(index), slots }));
    this.arrivals = indexes.map(() => []);
    this.coldArrivals = indexes.map(() => []);
    this.#inFlight = indexes.map(() => 0);
    this.#coldUntilMs = indexes.map(() => -Infinity);
    this.#senders = Array.from({ length: senders }, () => {
      const ramps = new TargetRamps({ getLiveEntries: () => senders, random });
      const getColdStart = () => ({ requestsPerS: 14, durationMs: 3000 });
      const cold = new ColdTargets({ getColdStart, bounds: { excess: 1.5, slack: 5 }, ramps });
      const own = indexes.map(() => 0);
      return { cold, ramps, own, others: own, freeAtMs: new Map<string, number>(), isCut: false };
    });
    for (const sender of this.#senders) {
      this.#apply(sender);
      this.#at(random() * reportMs, () => {
        this.#report(sender);
      });
    }
  }

  get senderCount(): number {
    return this.#senders.length;
  }

  /** Targets become cold. With a restart, what they run is lost, and they are another incarnation. */
  cool(ids: readonly number[], durationMs: number, isRestart: boolean): void {
    const { random, maxHeartbeatMs } = this.#options;
    for (const id of ids) {
      this.#coldUntilMs[id] = this.nowMs + durationMs;
      if (isRestart) {
        this.#inFlight[id] = 0;
        for (const sender of this.#senders) {
          sender.own[id] = 0;
        }
      }
      this.#at(random() * maxHeartbeatMs, () => {
        this.#receiveHeartbeat(id, isRestart);
      });
    }
  }

  /** The leader falls silent, and another one that knows nothing of its promises takes over. */
  changeLeader(electionMs: number): void {
    this.#limiter = null;
    this.#at(electionMs, () => {
      this.#limiter = new FleetLimiter(new LimitTable());
      this.#term += 1;
    });
  }

  /** Cuts the first senders off from all coordinators. */
  cut(count: number): void {
    for (const [index, sender] of this.#senders.entries()) {
      sender.isCut = index < count;
    }
  }

  run(durationMs: number): void {
    const { demandPerS, random } = this.#options;
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 1) {
      for (const event of this.#events.get(this.nowMs) ?? []) {
        event();
      }
      this.#events.delete(this.nowMs);
      const expected = demandPerS / 1000;
      const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      for (let sent = 0; sent < count; sent += 1) {
        this.#request(this.#senders[Math.floor(random() * this.#senders.length)]);
      }
    }
  }

  #receiveHeartbeat(index: number, isRestart: boolean): void {
    const id = String(index);
    const bornMs = isRestart ? this.nowMs : (this.#records[index]?.bornMs ?? 0);
    const leftMs = Math.max(0, (this.#coldUntilMs[index] ?? 0) - this.nowMs);
    this.#sequence += 1;
    this.#known.note({ id, bornMs, sequence: this.#sequence, leftMs }, this.nowMs);
    if (isRestart) {
      this.#records = this.#records.map((record) =>
        record.id === id ? { ...record, bornMs, coldLeftMs: leftMs } : record,
      );
    }
  }

  #report(sender: Sender): void {
    this.#at(reportMs, () => {
      this.#report(sender);
    });
    const others = this.#inFlight.map((count, index) => count - (sender.own[index] ?? 0));
    const { isCut } = sender;
    this.#at(this.#options.random() * maxReportDelayMs, () => {
      if (!isCut && !sender.isCut) {
        sender.others = others;
        this.#apply(sender);
      }
    });
  }

  #apply(sender: Sender): void {
    const { nowMs } = this;
    sender.cold.update({ targets: this.#records, cold: this.#known.list(nowMs), wallMs: nowMs, nowMs });
  }

  #request(sender: Sender | undefined): void {
    if (sender === undefined) {
      return;
    }
    const { nowMs } = this;
    const loads = this.#records.map((_, index) => (sender.own[index] ?? 0) + (sender.others[index] ?? 0));
    const free = this.#records.filter((_, index) => (loads[index] ?? 0) < slots);
    const warm = free.filter((target) => sender.cold.getRatePerS(target, nowMs) === null);
    const ratePerS = sender.cold.getServiceRatePerS("s") ?? 0;
    const usable = warm.filter(({ id }) => !sender.ramps.isHeld(id, ratePerS, nowMs));
    const candidates = usable.map(({ id }) => {
      return { id, slots, load: loads[Number(id)] ?? 0, weight: 1, isNear: false };
    });
    const id = chooseByFreeSlots(candidates, 0, this.#options.random, maxWeightRatio);
    if (id !== null) {
      this.#send(sender, Number(id));
      return;
    }
    const cold = free.filter(
      (target) => !warm.includes(target) && (sender.freeAtMs.get(target.id) ?? -Infinity) - nowMs <= waitMs,
    );
    this.#ask(sender, cold.slice(0, maxCandidates));
  }

  #ask(sender: Sender, targets: readonly TargetRecord[]): void {
    const askedAtMs = this.nowMs;
    if (targets.length === 0 || sender.isCut) {
      return;
    }
    const ratePerS = sender.cold.getServiceRatePerS("s");
    this.#at(this.#options.random() * maxCallDelayMs, () => {
      const ask = { targets, maxWaitMs: waitMs };
      const answer = this.#limiter?.take(ask, this.#term, this.nowMs, () => ratePerS);
      if (answer === undefined) {
        return;
      }
      this.#at(this.#options.random() * maxCallDelayMs, () => {
        if (this.nowMs - askedAtMs > maxAnswerMs) {
          return;
        }
        for (const [id, freeInMs] of Object.entries(answer.freeInMs)) {
          sender.freeAtMs.set(id, this.nowMs + (freeInMs ?? Infinity));
        }
        if (answer.target !== null) {
          const index = Number(answer.target);
          this.#at(answer.startInMs + this.#options.random() * permitValidMs, () => {
            this.#send(sender, index);
          });
        }
      });
    });
  }

  #send(sender: Sender, index: number): void {
    sender.own[index] = (sender.own[index] ?? 0) + 1;
    sender.ramps.noteSent(String(index), this.nowMs);
    this.#inFlight[index] = (this.#inFlight[index] ?? 0) + 1;
    const incarnation = this.#records[index];
    this.#at(this.#options.random() * maxSendDelayMs, () => {
      const isCold = (this.#coldUntilMs[index] ?? 0) > this.nowMs;
      this.arrivals[index]?.push(this.nowMs);
      if (isCold) {
        this.coldArrivals[index]?.push(this.nowMs);
      }
      this.#at(this.#options.random() * 2 * (isCold ? coldServiceMs : serviceMs), () => {
        this.served += 1;
        if (incarnation === this.#records[index] || (sender.own[index] ?? 0) > 0) {
          sender.own[index] = Math.max(0, (sender.own[index] ?? 0) - 1);
          this.#inFlight[index] = Math.max(0, (this.#inFlight[index] ?? 0) - 1);
        }
      });
    });
  }

  #at(inMs: number, event: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.ceil(inMs));
    const events = this.#events.get(atMs);
    if (events === undefined) {
      this.#events.set(atMs, [event]);
    } else {
      events.push(event);
    }
  }
}
