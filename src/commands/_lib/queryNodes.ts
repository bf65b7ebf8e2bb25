/** Queries the control listeners of nodes over tRPC. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { request } from "undici";
import { type ControlRouter } from "../../tasks/control/router";
import { parseInstances } from "../../tasks/platform";
import { type Address } from "../../types";

const queryTimeoutMs = 2_000;

/** Endpoint of a node and the address of its control listener. */
export interface NodeAddress {
    readonly endpoint: string;
    readonly control: Address;
}

/** Answer of a node, or the error message if it could not be queried. */
export type NodeAnswer<Value> =
    | { readonly node: NodeAddress; readonly reached: true; readonly value: Value; }
    | { readonly node: NodeAddress; readonly reached: false; readonly detail: string; };

type Client = ReturnType<typeof createTRPCClient<ControlRouter>>;

const createClient = (address: Address): Client =>
    createTRPCClient<ControlRouter>({ links: [httpLink({ url: `http://${address.host}:${address.port}/trpc` })] });

/** Parses "host:port"; returns undefined if the host is missing or the port is not an integer. */
export const parseAddress = (text: string): Address | undefined => {
    const separator = text.lastIndexOf(":");
    const port = Number(text.slice(separator + 1));
    return separator > 0 && Number.isInteger(port) ? { host: text.slice(0, separator), port } : undefined;
};

/**
 * Lists the nodes in the platform's instance list. Returns an empty list if that list is malformed; rejects if the
 * platform is unreachable.
 */
export const listNodes = async (platformAddress: string, instancesKey: string): Promise<readonly NodeAddress[]> => {
    const answer = await request(`http://${platformAddress}/v1/values/${encodeURIComponent(instancesKey)}`, {
        headersTimeout: queryTimeoutMs,
    });
    const parsed = parseInstances(await answer.body.text());
    return parsed.ok ? parsed.value.instances : [];
};

const queryNode = async <Value>(
    node: NodeAddress,
    query: (client: Client, signal: AbortSignal) => Promise<Value>,
): Promise<NodeAnswer<Value>> => {
    try {
        return {
            node,
            reached: true,
            value: await query(createClient(node.control), AbortSignal.timeout(queryTimeoutMs)),
        };
    }
    catch (error) {
        return { node, reached: false, detail: (error as Error).message };
    }
};

/** Queries all nodes concurrently; a node that does not answer within 2 s is reported as not reached. */
export const queryNodes = <Value>(
    nodes: readonly NodeAddress[],
    query: (client: Client, signal: AbortSignal) => Promise<Value>,
): Promise<readonly NodeAnswer<Value>[]> => Promise.all(nodes.map(node => queryNode(node, query)));
