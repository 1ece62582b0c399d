interface TurnOptions<Value> {
  readonly count: number;
  /** Time without an answer after which the next one is asked as well, in ms. */
  readonly silentMs: number;
  /** Asks one; resolves with null when it cannot answer. The signal tells that its answer is of no use any more. */
  readonly ask: (index: number, signal: AbortSignal) => Promise<Value | null>;
}

/**
 * Asks one after the other and does not wait for a silent one to be given up. Resolves with the first answer and who gave
 * it, or with null when none can answer.
 */
export async function askInTurn<Value>({
  count,
  silentMs,
  ask,
}: TurnOptions<Value>): Promise<{ readonly index: number; readonly value: Value } | null> {
  const abort = new AbortController();
  const asked: Promise<{ index: number; value: Value } | null>[] = [];
  let timer: NodeJS.Timeout | undefined;
  try {
    for (let index = 0; index < count; index += 1) {
      const answer = ask(index, abort.signal).then((value) => (value === null ? null : { index, value }));
      asked.push(answer);
      const isLast = index === count - 1;
      const silence = new Promise<null>((resolve) => {
        timer = isLast || silentMs === Infinity ? undefined : setTimeout(resolve, silentMs, null);
      });
      const first = await (isLast ? findFirst(asked) : Promise.race([silence, answer, findFirst(asked)]));
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

/** Resolves with the first value that is not null, or with null when there is none. */
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
