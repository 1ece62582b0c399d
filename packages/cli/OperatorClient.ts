import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { Agent, request as requestHttp } from "undici";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";
import type { OperatorResponse } from "./OperatorResponse";
import type { OperatorClientOptions } from "./OperatorClientOptions";
import { readBodyText } from "./readBodyText";
import { sendHedged } from "./sendHedged";

const attemptTimeoutMs = 8000;
/**
 * A stalled replica accepts connections but does not respond, so the next one gets the request after this
 * time.
 */
const hedgeDelayMs = 700;
const initialBackoffMs = 100;
const maxBackoffMs = 1000;
const redirectStatuses: readonly number[] = [307, 308, 421];
/** Statuses of a replica that cannot serve the request now; another one, or the same one later, may. */
const retryStatuses: readonly number[] = [429, 502, 503, 504];

/**
 * Client of control's operator API. Tries the replicas until one responds. Retries of a change carry the same
 * request id, so that a lost response cannot apply it twice.
 */
export class OperatorClient {
  readonly #options: OperatorClientOptions;
  readonly #dispatcher: Agent;
  #urls: readonly string[];

  constructor(options: OperatorClientOptions) {
    this.#options = options;
    this.#urls = options.controlUrls;
    this.#dispatcher = new Agent({
      connect: options.ca === null ? { timeout: 1000 } : { timeout: 1000, ca: options.ca },
    });
  }

  /** Reads a resource. Throws a CliError unless the status is 200. */
  async get(path: string): Promise<unknown> {
    const response = await this.#exchange("GET", path, null, hedgeDelayMs);
    if (response.status !== 200) {
      throw new CliError(ExitCode.Refused, getProblemText(response));
    }
    return response.body;
  }

  async getConfig(): Promise<FleetConfig> {
    return ((await this.get("/v1/config")) as { readonly config: FleetConfig }).config;
  }

  /**
   * Sends a body and returns the response, whatever its status. Throws a CliError if no replica responds. The
   * request is not hedged: it may not be idempotent.
   */
  async post(path: string, body: unknown): Promise<OperatorResponse> {
    return this.#exchange("POST", path, body, Infinity);
  }

  /** Proposes a change that is based on a revision. */
  async propose(
    author: string,
    baseRevision: number,
    change: ConfigChange,
    wait: boolean,
  ): Promise<OperatorResponse> {
    const request: ProposeRequest = { author, requestId: randomUUID(), baseRevision, change };
    const path = wait ? "/v1/changes?wait=inForce" : "/v1/changes";
    return this.#exchange("POST", path, request, hedgeDelayMs);
  }

  async close(): Promise<void> {
    await this.#dispatcher.close();
  }

  /** `hedgeDelayMs`: time without a response after which the next replica gets the request as well. */
  async #exchange(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    hedgeDelayMs: number,
  ): Promise<OperatorResponse> {
    const deadlineMs = Date.now() + this.#options.timeoutMs;
    let lastFailure = "no control replica is configured";
    for (let round = 0; Date.now() < deadlineMs && this.#urls.length > 0; round += 1) {
      const urls = [...this.#urls];
      const sendTo = async (index: number, signal: AbortSignal): Promise<OperatorResponse | null> => {
        const url = urls[index] ?? "";
        const abort = new AbortController();
        const stop = (): void => {
          abort.abort();
        };
        const timer = setTimeout(stop, deadlineMs - Date.now());
        signal.addEventListener("abort", stop);
        try {
          const response = await this.#send(method, `${url}${path}`, body, abort.signal);
          if (!retryStatuses.includes(response.status)) {
            return response;
          }
          lastFailure = `${url}: ${getProblemText(response)}`;
        } catch (error) {
          lastFailure = `${url}: ${error instanceof Error ? error.message : String(error)}`;
        } finally {
          clearTimeout(timer);
          signal.removeEventListener("abort", stop);
        }
        return null;
      };
      const first = await sendHedged({ count: urls.length, hedgeDelayMs, send: sendTo });
      if (first !== null) {
        const { status, leaderUrl } = first.value;
        const url = urls[first.index] ?? "";
        if (!redirectStatuses.includes(status) || leaderUrl === null) {
          this.#prefer(url);
          return first.value;
        }
        this.#prefer(leaderUrl);
        lastFailure = `${url}: not the leader`;
      }
      const backoffMs = first === null ? initialBackoffMs * 2 ** round : initialBackoffMs;
      await delay(Math.min(backoffMs, maxBackoffMs) * (0.5 + Math.random() / 2));
    }
    throw new CliError(
      ExitCode.Unreachable,
      `no answer from control within ${this.#options.timeoutMs} ms; last failure: ${lastFailure}`,
    );
  }

  /**
   * Tries this replica first from now on; a stalled one in front would delay each request by `hedgeDelayMs`.
   */
  #prefer(url: string): void {
    this.#urls = [url, ...this.#urls.filter((other) => other !== url)];
  }

  async #send(
    method: "GET" | "POST",
    url: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<OperatorResponse> {
    const { token } = this.#options;
    const response = await requestHttp(url, {
      method,
      dispatcher: this.#dispatcher,
      signal,
      headersTimeout: attemptTimeoutMs,
      bodyTimeout: attemptTimeoutMs,
      headers: {
        ...(token === null ? {} : { authorization: `Bearer ${token}` }),
        ...(body === null ? {} : { "content-type": "application/json" }),
      },
      body: body === null ? null : JSON.stringify(body),
    });
    const text = await readBodyText(response.body);
    const { location } = response.headers;
    return {
      status: response.statusCode,
      leaderUrl: typeof location === "string" ? new URL(location, url).origin : null,
      body: parseBody(text),
    };
  }
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

function getProblemText({ status, body }: OperatorResponse): string {
  const fields = typeof body === "object" && body !== null ? (body as Record<string, unknown>) : {};
  const text = [fields.message, fields.detail, fields.title, fields.error].find(
    (value) => typeof value === "string",
  );
  return text ?? `control responded with status ${status}`;
}
