/** Names of this system's headers, and the rules for forwarding headers. */

export const actionHeader = "pomelovalve-action";
export const callHeader = "pomelovalve-call";
export const callerHeader = "pomelovalve-caller";
export const deadlineHeader = "pomelovalve-deadline";
export const retriesHeader = "pomelovalve-retries";
export const unusedRetriesHeader = "pomelovalve-retries-unused";
export const importanceHeader = "pomelovalve-importance";
export const outcomeHeader = "pomelovalve-outcome";
export const loadHeader = "pomelovalve-load";
export const depthHeader = "pomelovalve-depth";
export const nestedCallRefusedHeader = "pomelovalve-refused-below";
export const nodeHeader = "pomelovalve-node";
export const leavingHeader = "pomelovalve-leaving";

const ownHeaderPrefix = "pomelovalve-";

const hopByHopNames: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Lists the additional hop-by-hop headers that the Connection header names, in lower case. */
const listConnectionNames = (rawHeaders: readonly string[]): ReadonlySet<string> | undefined => {
    const value = findHeader(rawHeaders, "connection");
    if (value === undefined || value === "keep-alive" || value === "close") {
        return undefined;
    }
    return new Set(value.split(",").map(name => name.trim().toLowerCase()));
};

/** Finds the first value of a header in a flat list of names and values; the name must be in lower case. */
export const findHeader = (rawHeaders: readonly string[], name: string): string | undefined => {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const candidate = rawHeaders[index]!;
        if (candidate.length === name.length && candidate.toLowerCase() === name) {
            return rawHeaders[index + 1];
        }
    }
    return undefined;
};

/** Returns the headers without hop-by-hop headers, this system's own headers, and those in `removedNames`. */
export const stripHeaders = (rawHeaders: readonly string[], removedNames: ReadonlySet<string>): string[] => {
    const connectionNames = listConnectionNames(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        const isRemoved = hopByHopNames.has(name) || name.startsWith(ownHeaderPrefix) || removedNames.has(name)
            || connectionNames?.has(name);
        if (!isRemoved) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
};

/** Request headers that are not forwarded, because the node sets its own or none. */
export const replacedRequestHeaders: ReadonlySet<string> = new Set(["host", "expect", "content-length"]);

/** Like `replacedRequestHeaders`, but without Host, which relays forward as received. */
export const relayReplacedRequestHeaders: ReadonlySet<string> = new Set(["expect", "content-length"]);

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer has no body because of the request's method or its own status. */
export const isBodiless = (method: string, status: number): boolean =>
    method === "HEAD" || statusesWithoutBody.has(status);

/** Empty set of names; makes `stripHeaders` remove only hop-by-hop headers and this system's own headers. */
export const noHeaders: ReadonlySet<string> = new Set();
