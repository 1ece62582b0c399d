import type { Random } from "@clementinemux/common/Random";
import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankFence } from "@clementinemux/experts/hold/RankFence";
import type { GroupTime } from "@clementinemux/experts/test/GroupTime";
import type { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankInspection } from "@clementinemux/ranker/RankInspection";
import type { RankPlace } from "@clementinemux/ranker/RankPlace";
import type { RankWay } from "@clementinemux/ranker/RankWay";
import type { HeldRankWay } from "./HeldRankWay";
import type { StandInProcess } from "./StandInProcess";

interface DelayedRankWayOptions {
  readonly way: HeldRankWay;
  /** Process that uses the way. */
  readonly process: StandInProcess;
  readonly time: GroupTime;
  readonly random: Random;
}

const usualDelayMs = 12;
/** Share of messages that take as long as a machine that stands still for a moment. */
const slowShare = 0.05;
const slowDelayMs = 300;
const unansweredShare = 0.1;
/** Share of the unanswered orders that are carried out all the same, at some time up to `latestMs`. */
const lateShare = 0.7;
const latestMs = 4000;
const orderTimeoutMs = 75;
const inspectTimeoutMs = 200;
const lostAnswerShare = 0.05;
const silentShare = 0.02;

/** Way to a rank of a stand-in group on which messages take their time, get lost or arrive late. */
export class DelayedRankWay implements RankWay {
  readonly #options: DelayedRankWayOptions;

  constructor(options: DelayedRankWayOptions) {
    this.#options = options;
  }

  get place(): RankPlace {
    return this.#options.way.place;
  }

  inspect(term: number, part: InspectionPart): Promise<RankInspection | null> {
    return this.#ask((way) => way.inspect(term, part));
  }

  inspectDirectly(): Promise<HeldRank | null> {
    return this.#ask((way) => way.inspectDirectly());
  }

  readExpertsDirectly(version: number): Promise<readonly (readonly number[])[] | null> {
    return this.#ask((way) => way.readExpertsDirectly(version));
  }

  readPreparedDirectly(): Promise<number | null> {
    return this.#ask((way) => way.readPreparedDirectly());
  }

  async order({ number }: RankFence, order: HoldOrder): Promise<boolean | null> {
    const { way, process, time, random } = this.#options;
    const carryOut = (): boolean | null => way.carryOut(number, order);
    if (random() < unansweredShare) {
      if (random() < lateShare) {
        void time.sleep(random() * latestMs).then(carryOut);
      }
      await process.sleep(orderTimeoutMs);
      return null;
    }
    const answer = await this.#call(orderTimeoutMs, () => Promise.resolve(carryOut()));
    return random() < lostAnswerShare ? null : answer;
  }

  async #ask<Answer>(ask: (way: HeldRankWay) => Promise<Answer | null>): Promise<Answer | null> {
    const { way, process, random } = this.#options;
    if (random() < silentShare) {
      await process.sleep(inspectTimeoutMs);
      return null;
    }
    return this.#call(inspectTimeoutMs, () => ask(way));
  }

  /** The message is on its way for itself; a process that stops meanwhile takes the answer when it goes on. */
  async #call<Answer>(timeoutMs: number, carryOut: () => Promise<Answer | null>): Promise<Answer | null> {
    const { process, time } = this.#options;
    const [sendMs, returnMs] = [this.#getDelayMs(), this.#getDelayMs()];
    const answer = time.sleep(sendMs).then(carryOut);
    if (sendMs + returnMs > timeoutMs) {
      await process.sleep(timeoutMs);
      return null;
    }
    await process.sleep(sendMs + returnMs);
    return answer;
  }

  #getDelayMs(): number {
    const { random } = this.#options;
    return 1 + random() * (random() < slowShare ? slowDelayMs : usualDelayMs);
  }
}
