import type { RelayedEvent } from "./RelayedEvent";
import { eventsPerS } from "./eventsPerS";

/**
 * Decides which events of an attempt are progress of its stream: those with data that the caller has not received yet, and
 * repeated ones while their ids rise, as a resumed stream may start again. Keep-alives and others are not.
 */
export class StreamProgress {
  readonly #maxEventsWithoutProgress: number;
  #eventsWithoutProgress = 0;
  #highestId = -Infinity;

  /** `stallTimeoutMs` is the longest time without progress; null for no limit. */
  constructor(stallTimeoutMs: number | null) {
    this.#maxEventsWithoutProgress = ((stallTimeoutMs ?? Infinity) * eventsPerS) / 1000;
  }

  /** Whether more events without progress have come in a row than the longest time without it allows. */
  get hasTooManyEvents(): boolean {
    return this.#eventsWithoutProgress > this.#maxEventsWithoutProgress;
  }

  /** Notes events, of which some are new to the caller. Returns whether any is progress. */
  note(events: readonly RelayedEvent[], newEvents: readonly RelayedEvent[]): boolean {
    const hasRisen = events.filter((event) => this.#raiseId(event)).length > 0;
    const isProgress = hasRisen || newEvents.some(({ hasData }) => hasData);
    this.#eventsWithoutProgress = isProgress ? 0 : this.#eventsWithoutProgress + events.length;
    return isProgress;
  }

  /** Whether the event has data and the highest id of this attempt. */
  #raiseId({ id, hasData }: RelayedEvent): boolean {
    if (id === null || !hasData || !(Number(id) > this.#highestId)) {
      return false;
    }
    this.#highestId = Number(id);
    return true;
  }
}
