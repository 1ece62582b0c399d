import { ResponseFeeder } from "@clementinemux/wire/ResponseFeeder";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { collectBody } from "@clementinemux/wire/collectBody";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import type { ProbeRequest } from "./ProbeRequest";

const maxResponseBytes = 65_536;

/**
 * Requests an agent's state on a new connection. An accepted connection does not show that the process is
 * alive, since the kernel accepts connections for a stopped process. The response must contain the target and
 * its incarnation.
 */
export async function probeAgent(
  { target, incarnation, address }: ProbeRequest,
  timeoutMs: number,
  tls?: TlsFiles,
): Promise<boolean> {
  const { request } = tls === undefined ? await import("node:http") : await import("node:https");
  return new Promise((resolve) => {
    const options = {
      ...parseAddress(address),
      ...(tls === undefined ? {} : { ...tls, checkServerIdentity: () => undefined }),
      path: "/agent/state",
      agent: false,
      headers: { connection: "close" },
    };
    const outgoing = request(options, (response) => {
      collectBody(response, maxResponseBytes).then(
        (body) => {
          const isState = isStateOfIncarnation(body.toString("utf8"), target, incarnation);
          finish(response.statusCode === 200 && isState);
        },
        () => {
          finish(false);
        },
      );
    });
    new ResponseFeeder(outgoing, () => {
      finish(false);
    });
    const timer = setTimeout(() => {
      finish(false);
    }, timeoutMs);
    const finish = (reached: boolean): void => {
      clearTimeout(timer);
      outgoing.destroy();
      resolve(reached);
    };
    outgoing.on("error", () => {
      finish(false);
    });
    outgoing.on("close", () => {
      finish(false);
    });
    outgoing.end();
  });
}

function isStateOfIncarnation(text: string, target: string, incarnation: string): boolean {
  try {
    const state = JSON.parse(text) as { target?: unknown; stamp?: unknown };
    return state.target === target && String(state.stamp).startsWith(`${incarnation}/`);
  } catch {
    return false;
  }
}
