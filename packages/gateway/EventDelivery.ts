import type { Clock } from "@clementinemux/common/Clock";
import { PieceAllowance } from "@clementinemux/wire/PieceAllowance";
import type { TurnQueue } from "@clementinemux/wire/TurnQueue";
import { EventSplitter } from "./EventSplitter";
import type { Guard } from "./Guard";
import type { RelayedEvent } from "./RelayedEvent";
import { eventsPerS } from "./eventsPerS";

interface EventDeliveryOptions {
  readonly clock: Clock;
  /** Shared by all streams, so that they take turns. */
  readonly turns: TurnQueue;
  readonly guard: Guard;
  readonly onEvents: (events: readonly RelayedEvent[]) => void;
  /** Called after each turn; `isHolding` may have changed. */
  readonly onTurnEnd: () => void;
}

const burstEvents = 1024;
const maxEventsPerTurn = 32;
/** Events after such a pause are delivered at once; those of a working engine come further apart. */
const directPauseMs = 10;

/**
 * Delivers the events of one stream in order, a bounded number in each turn of the event loop, and small ones at a
 * bounded rate. All are delivered: a stream that exceeds the rate is slowed down, if its source is paused while bytes are
 * held.
 */
export class EventDelivery {
  readonly #options: EventDeliveryOptions;
  readonly #splitter = new EventSplitter();
  readonly #allowance = new PieceAllowance(burstEvents, eventsPerS);
  #timer: NodeJS.Timeout | null = null;
  /** Events that were delivered since the last pause, and when the latest ones were. */
  #recentEvents = 0;
  #deliveredAtMs = -Infinity;
  #isScheduled = false;
  #isPaused = false;
  #isCancelled = false;
  #onEnd: (() => void) | null = null;

  constructor(options: EventDeliveryOptions) {
    this.#options = options;
  }

  /** Whether bytes wait to be delivered, so that no more should be read. */
  get isHolding(): boolean {
    return this.#splitter.unreadBytes > 0;
  }

  /** Size of the incomplete event that is buffered. */
  get pendingBytes(): number {
    return this.#splitter.pendingBytes;
  }

  get heldBytes(): number {
    return this.#splitter.heldBytes;
  }

  add(chunk: Buffer): void {
    this.#splitter.add(chunk);
    if (this.#options.clock.monotonicMs() - this.#deliveredAtMs >= directPauseMs) {
      this.#recentEvents = 0;
    }
    if (this.#recentEvents >= maxEventsPerTurn) {
      this.#schedule();
    } else if (!this.#isScheduled && !this.#isPaused) {
      this.#runTurn();
    }
  }

  /** Calls back after the last event. */
  end(onEnd: () => void): void {
    this.#onEnd = onEnd;
    this.#endIfDelivered();
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.#schedule();
  }

  /** Delivers at once what the rate allows, as after the stream has broken. */
  flush(): void {
    let events = this.#takeEvents();
    while (events.length > 0 && !this.#isCancelled) {
      this.#options.onEvents(events);
      events = this.#takeEvents();
    }
  }

  cancel(): void {
    this.#isCancelled = true;
    this.#onEnd = null;
    this.#splitter.clear();
    clearTimeout(this.#timer ?? undefined);
  }

  #runTurn(): void {
    const events = this.#takeEvents();
    if (events.length > 0) {
      this.#options.onEvents(events);
    }
    if (!this.#isCancelled) {
      this.#schedule();
      this.#options.onTurnEnd();
      this.#endIfDelivered();
    }
  }

  #takeEvents(): readonly RelayedEvent[] {
    const nowMs = this.#options.clock.monotonicMs();
    const events: RelayedEvent[] = [];
    while (events.length < maxEventsPerTurn && this.#allowance.getWaitMs(1, nowMs) === 0) {
      const event = this.#splitter.next();
      if (event === null) {
        break;
      }
      this.#allowance.takePiece(event.bytes.length, nowMs);
      events.push(event);
    }
    if (events.length > 0) {
      this.#recentEvents += events.length;
      this.#deliveredAtMs = nowMs;
    }
    return events;
  }

  #schedule(): void {
    if (this.#isScheduled || this.#isPaused || !this.isHolding) {
      return;
    }
    this.#isScheduled = true;
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#allowance.getWaitMs(1, nowMs) === 0) {
      this.#takeTurn();
      return;
    }
    this.#timer = setTimeout(
      () => {
        this.#takeTurn();
      },
      this.#allowance.getWaitMs(maxEventsPerTurn, nowMs),
    );
  }

  #takeTurn(): void {
    this.#options.turns.add(() => {
      this.#isScheduled = false;
      if (!this.#isCancelled && !this.#isPaused) {
        this.#options.guard(() => {
          this.#runTurn();
        });
      }
    });
  }

  #endIfDelivered(): void {
    if (this.#onEnd !== null && !this.isHolding) {
      const onEnd = this.#onEnd;
      this.#onEnd = null;
      onEnd();
    }
  }
}
