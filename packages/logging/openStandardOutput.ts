import { Socket } from "node:net";
import { FileTarget } from "./FileTarget";
import type { LogTarget } from "./LogTarget";
import { StreamTarget } from "./StreamTarget";

const standardOutputDescriptor = 1;

/** Opens standard output as a log target. Node represents pipes, sockets and terminals as sockets. */
export function openStandardOutput(): LogTarget {
  return process.stdout instanceof Socket
    ? new StreamTarget(process.stdout)
    : new FileTarget(standardOutputDescriptor);
}
