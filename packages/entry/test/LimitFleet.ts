import type { Random } from "@clementinemux/common/Random";
import { createRandom } from "@clementinemux/common/createRandom";
import { LimitReporter } from "@clementinemux/entry/LimitReporter";
import { LimitService } from "@clementinemux/membership/LimitService";
import type { LimitSharesResponse } from "@clementinemux/messages/LimitSharesResponse";
import { TeamLimits } from "@clementinemux/policy/admission/TeamLimits";
import { unleasedShare } from "@clementinemux/policy/admission/unleasedShare";
import { MessageName } from "@clementinemux/wire/MessageName";

interface Entry {
  readonly id: string;
  readonly limits: TeamLimits;
  readonly reporter: LimitReporter;
  readonly offsetMs: number;
}

interface Relay {
  readonly address: string;
  service: LimitService;
  startCount: number;
  downUntilMs: number;
  /** Time of the last grant above 0. */
  grantedAtMs: number;
}

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

interface LimitFleetOptions {
  readonly seed: number;
  readonly entryCount: number;
  readonly lossShare: number;
  readonly maxDelayMs: number;
}

const stepMs = 20;
const timeoutMs = 900;
const leaseMs = 4000;

/**
 * Simulates entries and relays of one team on a virtual clock, with a network that loses and delays messages.
 */
export class LimitFleet {
  readonly admittedAtMs: number[] = [];
  /**
   * For each step: the part of the limit divided without leases, plus the leased part for each relay with
   * active shares.
   */
  readonly parts: number[] = [];
  readonly rates = { requestsPerS: 100, tokensPerS: 1e9 };
  /** Greatest sum of the active shares, divided by the number of relays that granted them. */
  maxShareSum = 0;
  nowMs = 0;
  readonly relays: readonly Relay[];
  entries: Entry[] = [];
  readonly #options: LimitFleetOptions;
  readonly #random: Random;
  #events: Event[] = [];
  #startCount = 0;

  constructor(options: LimitFleetOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.relays = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"].map((address) => ({
      address,
      service: this.#createService(address),
      startCount: 0,
      downUntilMs: 0,
      grantedAtMs: -Infinity,
    }));
    for (let index = 0; index < options.entryCount; index += 1) {
      this.#startEntry();
    }
  }

  /** Replaces an entry by a new one without state. */
  restartEntry(index: number): void {
    this.entries.splice(index, 1);
    this.#startEntry();
  }

  /** Stops a relay for `downMs` and restarts it without state. Messages on its connections are lost. */
  restartRelay(index: number, downMs: number): void {
    const relay = this.relays[index];
    if (relay !== undefined) {
      relay.startCount += 1;
      relay.downUntilMs = this.nowMs + downMs;
    }
  }

  /** Runs until the given time. Entries for which `isBusy` returns true always have waiting callers. */
  runUntil(untilMs: number, isBusy: (index: number) => boolean): void {
    for (; this.nowMs < untilMs; this.nowMs += stepMs) {
      const due = this.#events.filter(({ atMs }) => atMs <= this.nowMs);
      this.#events = this.#events.filter(({ atMs }) => atMs > this.nowMs);
      due.forEach(({ run }) => {
        run();
      });
      for (const relay of this.relays) {
        if (relay.downUntilMs !== 0 && relay.downUntilMs <= this.nowMs) {
          relay.downUntilMs = 0;
          relay.service = this.#createService(`${relay.address}/${relay.startCount}`);
        }
      }
      this.entries.forEach((entry, index) => {
        this.#report(entry, (this.nowMs + entry.offsetMs) % 1000 !== 0);
        entry.limits.setLeasing(entry.reporter.isLeasing(this.nowMs));
        // One rejected request per step is enough to keep the demand up.
        while (isBusy(index) && entry.limits.take("team", this.rates, 1, this.nowMs) === null) {
          this.admittedAtMs.push(this.nowMs);
        }
      });
      const relayCount = this.relays.filter(({ grantedAtMs }) => grantedAtMs > this.nowMs - leaseMs).length;
      const divided = this.entries.reduce(
        (sum, { reporter }) => sum + (reporter.isLeasing(this.nowMs) ? unleasedShare : 1),
        0,
      );
      const leased = (1 - unleasedShare) * Math.max(1, relayCount);
      this.parts.push(divided / this.#options.entryCount + leased);
      const shares = this.entries.map(({ limits }) => limits.getLeasedShare("team", this.nowMs));
      const sum = shares.reduce((total, share) => total + share, 0);
      this.maxShareSum = Math.max(this.maxShareSum, sum / Math.max(1, relayCount));
    }
  }

  #createService(relayStart: string): LimitService {
    return new LimitService({
      clock: { monotonicMs: () => this.nowMs, wallMs: () => this.nowMs },
      relayStart,
    });
  }

  #startEntry(): void {
    this.#startCount += 1;
    const id = `entry/${this.#startCount}`;
    const limits = new TeamLimits(this.nowMs);
    limits.setLiveEntryCount(this.#options.entryCount);
    const reporter = new LimitReporter(
      id,
      this.relays.map(({ address }) => address),
    );
    const offsetMs = Math.floor(this.#random() * 50) * stepMs;
    this.entries.push({ id, limits, reporter, offsetMs });
  }

  #report({ limits, reporter }: Entry, onlyNewTeams: boolean): void {
    const demands = onlyNewTeams ? limits.collectNewDemand() : limits.collectDemand(this.nowMs);
    if (onlyNewTeams && demands.length === 0) {
      return;
    }
    const { reports, droppedTeams } = reporter.createReports(demands, this.nowMs);
    limits.dropShares(droppedTeams, this.nowMs);
    for (const report of reports) {
      const relay = this.relays.find(({ address }) => address === report.relay);
      const startCount = relay?.startCount;
      const isUp = (): boolean => relay?.downUntilMs === 0 && relay.startCount === startCount;
      this.#schedule(timeoutMs, () => {
        reporter.onResponse(report, null);
      });
      this.#send(isUp, () => {
        const handler = relay?.service.handlers[MessageName.LimitShares];
        const response = handler?.(report.request, "") as LimitSharesResponse;
        if (relay !== undefined && response[3].some((share) => share > 0)) {
          relay.grantedAtMs = this.nowMs;
        }
        this.#send(isUp, () => {
          limits.applyShares(reporter.onResponse(report, response), this.nowMs);
        });
      });
    }
  }

  #send(isUp: () => boolean, run: () => void): void {
    const isLost = this.#random() < this.#options.lossShare;
    const delayMs = Math.floor(this.#random() * this.#options.maxDelayMs);
    this.#schedule(delayMs, () => {
      if (!isLost && isUp()) {
        run();
      }
    });
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.nowMs + delayMs, run });
  }
}
