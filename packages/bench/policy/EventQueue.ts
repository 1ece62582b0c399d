interface TimedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Event queue of a virtual clock. Events with equal times run in the order in which they were added. */
export class EventQueue {
  readonly #heap: TimedEvent[] = [];
  #nowMs = 0;
  #order = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order, run });
    this.#siftUp(this.#heap.length - 1);
  }

  runUntil(endMs: number): void {
    for (let event = this.#heap[0]; event !== undefined && event.atMs <= endMs; event = this.#heap[0]) {
      this.#removeFirst();
      this.#nowMs = event.atMs;
      event.run();
    }
    this.#nowMs = endMs;
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
  }

  #siftUp(start: number): void {
    for (let index = start; index > 0;) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(): void {
    for (let index = 0; ;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let first = index;
      if (left < this.#heap.length && this.#isBefore(left, first)) {
        first = left;
      }
      if (right < this.#heap.length && this.#isBefore(right, first)) {
        first = right;
      }
      if (first === index) {
        return;
      }
      this.#swap(index, first);
      index = first;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const a = this.#get(left);
    const b = this.#get(right);
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  #swap(left: number, right: number): void {
    const moved = this.#get(left);
    this.#heap[left] = this.#get(right);
    this.#heap[right] = moved;
  }

  #get(index: number): TimedEvent {
    const event = this.#heap[index];
    if (event === undefined) {
      throw new RangeError(`no event at ${index}`);
    }
    return event;
  }
}
