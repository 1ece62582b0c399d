import type { Clock } from "@clementinemux/common/Clock";
import { isHeaderValue } from "@clementinemux/wire/isHeaderValue";
import type { Guard } from "./Guard";
import type { ResponseWriter } from "./ResponseWriter";
import type { EventPacer } from "./EventPacer";

interface EventRelayOptions {
  readonly writer: ResponseWriter;
  readonly pacer: EventPacer;
  readonly clock: Clock;
  /** Runs the handlers of the relay. */
  readonly guard: Guard;
  /** Receives the time between the arrivals of two events, in ms. */
  readonly onGap: (gapMs: number) => void;
}

interface BufferedEvent {
  readonly bytes: Buffer;
  readonly atMs: number;
}

/** The upstream side of a stream, which is paused while the caller does not read. */
interface StreamSource {
  pause(): void;
  resume(): void;
}

/**
 * When a stream exceeds this many buffered bytes, its oldest events are forwarded early: such a stream has no
 * pauses to even out.
 */
const maxBufferedBytes = 65_536;

/**
 * Forwards the events of one stream to its caller: each once, in order, at the times that the pacer
 * schedules.
 */
export class EventRelay {
  readonly #options: EventRelayOptions;
  #buffered: BufferedEvent[] = [];
  #bufferedBytes = 0;
  #timer: NodeJS.Timeout | null = null;
  #source: StreamSource | null = null;
  #onEnd: (() => void) | null = null;
  #arrivedAtMs: number | null = null;
  #forwardedAtMs: number | null = null;
  #firstAtMs: number | null = null;
  #longestArrivalGapMs = 0;
  #longestGapMs = 0;
  #events = 0;
  #lastEventId: string | null = null;
  #isResumable = true;

  constructor(options: EventRelayOptions) {
    this.#options = options;
  }

  /** Id of the last event that was accepted; a resumed stream continues after it. */
  get lastEventId(): string | null {
    return this.#lastEventId;
  }

  /** Whether a target can be told the id after which to resume; false after an id that no header can carry. */
  get isResumable(): boolean {
    return this.#isResumable;
  }

  /** What the caller has received, for the log; `firstEventAtMs` is null when there was no event. */
  get summary() {
    return {
      firstEventAtMs: this.#firstAtMs,
      events: this.#events,
      longestGapMs: Math.round(this.#longestGapMs),
      longestArrivalGapMs: Math.round(this.#longestArrivalGapMs),
    };
  }

  /**
   * Accepts an event. Returns false for a duplicate: a resumed stream may repeat events that the caller
   * already has.
   */
  push(bytes: Buffer, id: string | null, source: StreamSource): boolean {
    if (id !== null && this.#lastEventId !== null && Number(id) <= Number(this.#lastEventId)) {
      return false;
    }
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#arrivedAtMs !== null) {
      const gapMs = nowMs - this.#arrivedAtMs;
      this.#longestArrivalGapMs = Math.max(this.#longestArrivalGapMs, gapMs);
      this.#options.onGap(gapMs);
    }
    this.#arrivedAtMs = nowMs;
    this.#events += 1;
    this.#lastEventId = id ?? this.#lastEventId;
    this.#isResumable = id === null ? this.#isResumable : isHeaderValue(id);
    this.#source = source;
    this.#buffered.push({ bytes, atMs: this.#options.pacer.schedule(nowMs) });
    this.#bufferedBytes += bytes.length;
    this.#forward();
    return true;
  }

  /** Ends the response after the last event. */
  end(onEnd: () => void): void {
    this.#onEnd = onEnd;
    this.#forward();
  }

  /** Forwards all buffered events at once, and ends the response if its last event has arrived. */
  flush(): void {
    this.#buffered = this.#buffered.map(({ bytes }) => ({ bytes, atMs: -Infinity }));
    this.#forward();
  }

  /** Drops all buffered events, as after the caller has disconnected. */
  cancel(): void {
    this.#buffered = [];
    this.#bufferedBytes = 0;
    this.#onEnd = null;
    clearTimeout(this.#timer ?? undefined);
  }

  #forward(): void {
    clearTimeout(this.#timer ?? undefined);
    const nowMs = this.#options.clock.monotonicMs();
    let [next] = this.#buffered;
    while (next !== undefined && (next.atMs <= nowMs || this.#bufferedBytes > maxBufferedBytes)) {
      this.#write(next.bytes, nowMs);
      this.#bufferedBytes -= next.bytes.length;
      this.#buffered.shift();
      [next] = this.#buffered;
    }
    if (next !== undefined) {
      this.#timer = setTimeout(() => {
        this.#options.guard(() => {
          this.#forward();
        });
      }, next.atMs - nowMs);
    } else if (this.#onEnd !== null) {
      const onEnd = this.#onEnd;
      this.#onEnd = null;
      this.#options.writer.end();
      onEnd();
    }
  }

  #write(bytes: Buffer, nowMs: number): void {
    const source = this.#source;
    this.#longestGapMs = Math.max(this.#longestGapMs, nowMs - (this.#forwardedAtMs ?? nowMs));
    this.#forwardedAtMs = nowMs;
    this.#firstAtMs ??= nowMs;
    const canContinue = this.#options.writer.write(bytes, () => {
      this.#options.guard(() => source?.resume());
    });
    if (!canContinue) {
      source?.pause();
    }
  }
}
