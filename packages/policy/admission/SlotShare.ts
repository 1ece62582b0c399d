import type { Random } from "@clementinemux/common/Random";
import type { SlotReport } from "./SlotReport";
import { lowerShare } from "./lowerShare";

/** A claim by one waiting request on a free slot. */
interface SlotClaim {
  readonly priority: number;
  /** Free slots of the service, as seen by this gateway. */
  readonly freeSlots: number;
  /** Requests of the priority that wait at this gateway, with the claiming one. */
  readonly waiting: number;
  readonly nowMs: number;
}

/** Without a report for this long, a gateway decides by its own requests only; the records of others expire then. */
const maxReportAgeMs = 1500;
/** Multiple of the more urgent waiting requests elsewhere for which free slots are left; about as many arrive per report. */
const urgentReserve = 2;
/** Share of the slots above its fair share that a gateway passes on per report; at five reports per second, two seconds halve them. */
const adjustShare = 0.1;
/** A gateway keeps this multiple of its fair share plus one slot, so that noise in the reports leaves no slot idle. */
const fairSlack = 1.1;
/** Weight of the newest report in the mean number of waiting requests. */
const newestWeight = 0.3;

/**
 * Decides which free slots this gateway may take while other gateways wait for slots of the same service. A slot that
 * this gateway freed is free for it at once, as no other one sees it yet, unless it owes the slot: because more urgent
 * requests wait elsewhere, or because it runs more requests than its fair share. Slots that all gateways see free are
 * divided by waiting requests. Without waiting requests elsewhere, every free slot may be taken. Takes the current time as
 * a parameter.
 */
export class SlotShare {
  readonly #random: Random;
  #report: SlotReport | null = null;
  /** Slots taken minus slots freed since the last report, with the slots that were passed on. */
  #netTaken = 0;
  /** Slots owed to others, by the priority of the own requests that are held back. */
  #owed = new Map<number, number>();
  /** One draw per priority and report, which rounds the share of the visible slots. */
  #draws = new Map<number, number>();
  /** Slots passed on since a request of the priority last took one in spite of more urgent ones elsewhere. */
  readonly #passed = new Map<number, number>();
  readonly #meanOwn = new Map<number, number>();
  readonly #meanOthers = new Map<number, number>();

  constructor(random: Random) {
    this.#random = random;
  }

  noteTaken(): void {
    this.#netTaken += 1;
  }

  noteFreed(): void {
    this.#netTaken -= 1;
  }

  /** Begins the time until the next report. `slotsPerWaiting` is how many slots one waiting request stands for. */
  noteReport(report: SlotReport, slotsPerWaiting: number): void {
    this.#report = report;
    this.#netTaken = 0;
    this.#draws = new Map();
    smooth(this.#meanOwn, report.ownWaiting);
    smooth(this.#meanOthers, report.othersWaiting);
    const priorities = new Set([...this.#owed.keys(), ...report.ownWaiting.keys()]);
    this.#owed = new Map([...priorities].map((item) => [item, this.#computeOwed(item, slotsPerWaiting)]));
  }

  /** Waiting requests elsewhere that are as urgent as the priority, and those that are more urgent. */
  getOthers(priority: number, nowMs: number): { readonly same: number; readonly higher: number } {
    const { othersWaiting, nowMs: reportedAtMs } = this.#report ?? noReport;
    if (nowMs - reportedAtMs > maxReportAgeMs) {
      return { same: 0, higher: 0 };
    }
    return { same: othersWaiting.get(priority) ?? 0, higher: sumBelow(othersWaiting, priority) };
  }

  /** Whether a waiting request may take a free slot now. */
  mayTake({ priority, freeSlots, waiting, nowMs }: SlotClaim): boolean {
    if (freeSlots <= 0) {
      return false;
    }
    const { same, higher } = this.getOthers(priority, nowMs);
    if (same + higher === 0) {
      return true;
    }
    while (this.#netTaken < 0) {
      if (!this.#passOn(priority, higher > 0)) {
        return true;
      }
    }
    const visible = freeSlots + this.#netTaken;
    const left = Math.max(visible - higher * urgentReserve, visible * lowerShare);
    const share = (left * waiting) / (waiting + same);
    return this.#netTaken < Math.floor(share + this.#draw(priority));
  }

  /** Leaves a slot that this gateway freed to others, if it owes one. Returns whether it did. */
  #passOn(priority: number, isForUrgent: boolean): boolean {
    const owed = this.#owed.get(priority) ?? 0;
    const passed = this.#passed.get(priority) ?? 0;
    if (owed < 1 || (isForUrgent && passed + 1 >= 1 / lowerShare)) {
      this.#passed.set(priority, owed < 1 ? passed : 0);
      return false;
    }
    this.#owed.set(priority, owed - 1);
    this.#passed.set(priority, passed + 1);
    this.#netTaken += 1;
    return true;
  }

  #draw(priority: number): number {
    const draw = this.#draws.get(priority) ?? this.#random();
    this.#draws.set(priority, draw);
    return draw;
  }

  #computeOwed(priority: number, slotsPerWaiting: number): number {
    const { ownInFlight, othersInFlight, othersWaiting } = this.#report ?? noReport;
    const higher = sumBelow(othersWaiting, priority);
    const isContended = higher + (othersWaiting.get(priority) ?? 0) > 0;
    if (!isContended || ownInFlight === 0) {
      return 0;
    }
    const slots = ownInFlight + othersInFlight;
    const ownDemand = ownInFlight + sumBelow(this.#meanOwn, priority + 1) * slotsPerWaiting;
    const othersDemand = othersInFlight + sumBelow(this.#meanOthers, priority + 1) * slotsPerWaiting;
    const fair = (slots * ownDemand) / (ownDemand + othersDemand);
    const excess = Math.max(0, ownInFlight - fair * fairSlack - 1);
    const carried = Math.min(1, this.#owed.get(priority) ?? 0);
    return carried + (higher * ownInFlight) / slots + excess * adjustShare;
  }
}

const noReport: SlotReport = {
  nowMs: -Infinity,
  ownInFlight: 0,
  othersInFlight: 0,
  ownWaiting: new Map(),
  othersWaiting: new Map(),
};

function sumBelow(counts: ReadonlyMap<number, number>, priority: number): number {
  let sum = 0;
  for (const [item, count] of counts) {
    sum += item < priority ? count : 0;
  }
  return sum;
}

function smooth(means: Map<number, number>, newest: ReadonlyMap<number, number>): void {
  for (const priority of new Set([...means.keys(), ...newest.keys()])) {
    const mean = means.get(priority) ?? 0;
    means.set(priority, mean + ((newest.get(priority) ?? 0) - mean) * newestWeight);
  }
}
