import { request as requestHttp } from "undici";
import { headerNames } from "@clementinemux/common/headerNames";

interface KvCache {
  readonly seed: number;
  readonly tokens: readonly string[];
}

const timeoutMs = 500;

/**
 * Fetches the exported state of a stream through the agent of its previous engine; null if it is not
 * available.
 */
export async function fetchKvCache(
  source: string,
  attemptId: string,
  stamp: string,
): Promise<KvCache | null> {
  try {
    const { statusCode, body } = await requestHttp(`http://${source}/v1/kv/${attemptId}`, {
      headers: { [headerNames.stamp]: stamp },
      signal: AbortSignal.timeout(timeoutMs),
    });
    if (statusCode !== 200) {
      await body.dump();
      return null;
    }
    return (await body.json()) as KvCache;
  } catch {
    return null;
  }
}
