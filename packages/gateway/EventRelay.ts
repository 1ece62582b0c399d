import type { Clock } from "@clementinemux/common/Clock";
import { isHeaderValue } from "@clementinemux/wire/isHeaderValue";
import type { Guard } from "./Guard";
import type { ResponseWriter } from "./ResponseWriter";
import type { RelayedEvent } from "./RelayedEvent";
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

/** Longer ids are not sent on as a header, nor logged. */
const maxIdLength = 1024;
/** Objects of a buffered event, beside its bytes. */
const eventObjectBytes = 256;
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

  /** Accepts events. Returns those that were new: a resumed stream may repeat events that the caller already has. */
  push(events: readonly RelayedEvent[], source: StreamSource): readonly RelayedEvent[] {
    const newEvents = events.filter((event) => this.#accept(event));
    if (newEvents.length > 0) {
      this.#source = source;
      this.#forward();
    }
    return newEvents;
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

  #accept({ bytes, id }: RelayedEvent): boolean {
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
    this.#isResumable = id === null ? this.#isResumable : id.length <= maxIdLength && isHeaderValue(id);
    this.#buffered.push({ bytes, atMs: this.#options.pacer.schedule(nowMs) });
    this.#bufferedBytes += getHeldBytes(bytes);
    return true;
  }

  #forward(): void {
    clearTimeout(this.#timer ?? undefined);
    const nowMs = this.#options.clock.monotonicMs();
    const due = this.#takeDue(nowMs);
    if (due.length > 0) {
      this.#write(due, nowMs);
    }
    const [next] = this.#buffered;
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

  /** Takes the events whose time has come, and the oldest ones beyond the limit. */
  #takeDue(nowMs: number): readonly Buffer[] {
    const due: Buffer[] = [];
    for (const { bytes, atMs } of this.#buffered) {
      if (atMs > nowMs && this.#bufferedBytes <= maxBufferedBytes) {
        break;
      }
      due.push(bytes);
      this.#bufferedBytes -= getHeldBytes(bytes);
    }
    this.#buffered.splice(0, due.length);
    return due;
  }

  /** Writes events together, since each write costs the response some objects until its caller has read it. */
  #write(events: readonly Buffer[], nowMs: number): void {
    const [first = Buffer.alloc(0)] = events;
    const bytes = events.length === 1 ? first : Buffer.concat(events);
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

function getHeldBytes(bytes: Buffer): number {
  return eventObjectBytes + bytes.length;
}
