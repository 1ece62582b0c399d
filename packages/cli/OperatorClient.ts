import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { Agent, request as requestHttp } from "undici";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";
import type { OperatorAnswer } from "./OperatorAnswer";
import type { OperatorClientOptions } from "./OperatorClientOptions";
import { askInTurn } from "./askInTurn";

const attemptTimeoutMs = 8000;
/** A replica that stands still takes connections and does not answer; others answer within this time or are slow. */
const silentMs = 700;
const firstPauseMs = 100;
const maxPauseMs = 1000;
const redirectStatuses: readonly number[] = [307, 308, 421];
/** Statuses of a replica that cannot answer now, while another one, or the same one later, can. */
const retryStatuses: readonly number[] = [429, 502, 503, 504];

/**
 * Client of control's operator API. Tries each replica until one answers. A change is resent with the same
 * request id, so that a lost answer cannot make it happen twice.
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

  /** Reads a resource. Throws a CliError. */
  async get(path: string): Promise<unknown> {
    const answer = await this.#exchange("GET", path, null, silentMs);
    if (answer.status !== 200) {
      throw new CliError(ExitCode.Refused, getProblemText(answer));
    }
    return answer.body;
  }

  async getConfig(): Promise<FleetConfig> {
    return ((await this.get("/v1/config")) as { readonly config: FleetConfig }).config;
  }

  /**
   * Sends a body and returns whatever control answers. Throws a CliError when none does. A silent replica is waited for,
   * since the request may not be safe to send to two.
   */
  async post(path: string, body: unknown): Promise<OperatorAnswer> {
    return this.#exchange("POST", path, body, Infinity);
  }

  /** Proposes a change on top of a revision. */
  async propose(
    author: string,
    baseRevision: number,
    change: ConfigChange,
    wait: boolean,
  ): Promise<OperatorAnswer> {
    const request: ProposeRequest = { author, requestId: randomUUID(), baseRevision, change };
    const path = wait ? "/v1/changes?wait=inForce" : "/v1/changes";
    return this.#exchange("POST", path, request, silentMs);
  }

  async close(): Promise<void> {
    await this.#dispatcher.close();
  }

  /** `silentMs` is the time without an answer after which the next replica is asked as well. */
  async #exchange(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    silentMs: number,
  ): Promise<OperatorAnswer> {
    const givenUpAtMs = Date.now() + this.#options.timeoutMs;
    let lastFailure = "no control replica is named";
    for (let round = 0; Date.now() < givenUpAtMs && this.#urls.length > 0; round += 1) {
      const urls = [...this.#urls];
      const ask = async (index: number, signal: AbortSignal): Promise<OperatorAnswer | null> => {
        const url = urls[index] ?? "";
        try {
          const answer = await this.#send(method, `${url}${path}`, body, signal);
          if (!retryStatuses.includes(answer.status)) {
            return answer;
          }
          lastFailure = `${url}: ${getProblemText(answer)}`;
        } catch (error) {
          lastFailure = `${url}: ${error instanceof Error ? error.message : String(error)}`;
        }
        return null;
      };
      const first = await askInTurn({ count: urls.length, silentMs, ask });
      if (first !== null) {
        const { status, leaderUrl } = first.value;
        const url = urls[first.index] ?? "";
        if (!redirectStatuses.includes(status) || leaderUrl === null) {
          this.#prefer(url);
          return first.value;
        }
        this.#prefer(leaderUrl);
        lastFailure = `${url}: is not the leader`;
      }
      const pauseMs = first === null ? firstPauseMs * 2 ** round : firstPauseMs;
      await delay(Math.min(pauseMs, maxPauseMs) * (0.5 + Math.random() / 2));
    }
    throw new CliError(
      ExitCode.Unreachable,
      `no answer from control within ${this.#options.timeoutMs} ms; last failure: ${lastFailure}`,
    );
  }

  /** Asks this replica first from now on; one that stands still would delay each request by `silentMs`. */
  #prefer(url: string): void {
    this.#urls = [url, ...this.#urls.filter((known) => known !== url)];
  }

  async #send(
    method: "GET" | "POST",
    url: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<OperatorAnswer> {
    const { token } = this.#options;
    const answer = await requestHttp(url, {
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
    const text = await answer.body.text();
    const { location } = answer.headers;
    return {
      status: answer.statusCode,
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

function getProblemText({ status, body }: OperatorAnswer): string {
  const fields = typeof body === "object" && body !== null ? (body as Record<string, unknown>) : {};
  const text = [fields.message, fields.detail, fields.title, fields.error].find(
    (value) => typeof value === "string",
  );
  return text ?? `control answered with status ${status}`;
}
