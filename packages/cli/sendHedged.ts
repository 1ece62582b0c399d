interface HedgeOptions<Value> {
  /** Number of destinations. */
  readonly count: number;
  /**
   * Time without a response after which the next destination gets the request as well; Infinity for never.
   */
  readonly hedgeDelayMs: number;
  /**
   * Sends to one destination; resolves with null if that fails. The signal aborts once another one has
   * responded.
   */
  readonly send: (index: number, signal: AbortSignal) => Promise<Value | null>;
}

/**
 * Hedged request: sends to one destination after the other, the next one as soon as the previous one fails or
 * the hedge delay has passed. Resolves with the first response and the index of its destination, or with null
 * if all fail.
 */
export async function sendHedged<Value>({
  count,
  hedgeDelayMs,
  send,
}: HedgeOptions<Value>): Promise<{ readonly index: number; readonly value: Value } | null> {
  const abort = new AbortController();
  const attempts: Promise<{ index: number; value: Value } | null>[] = [];
  let timer: NodeJS.Timeout | undefined;
  try {
    for (let index = 0; index < count; index += 1) {
      const attempt = send(index, abort.signal).then((value) => (value === null ? null : { index, value }));
      attempts.push(attempt);
      const isLast = index === count - 1;
      const hedgeDelay = new Promise<null>((resolve) => {
        timer = isLast || hedgeDelayMs === Infinity ? undefined : setTimeout(resolve, hedgeDelayMs, null);
      });
      const first = await (isLast
        ? findFirst(attempts)
        : Promise.race([hedgeDelay, attempt, findFirst(attempts)]));
      clearTimeout(timer);
      if (first !== null) {
        return first;
      }
    }
    return null;
  } finally {
    clearTimeout(timer);
    abort.abort();
  }
}

/** Resolves with the first value that is not null, or with null if all are null. */
function findFirst<Value>(promises: readonly Promise<Value | null>[]): Promise<Value | null> {
  return new Promise((resolve) => {
    for (const promise of promises) {
      void promise.then((value) => {
        if (value !== null) {
          resolve(value);
        }
      });
    }
    void Promise.all(promises).then(() => {
      resolve(null);
    });
  });
}
