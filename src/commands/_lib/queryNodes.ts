/** Queries of operators to the nodes, over tRPC. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { request } from "undici";
import { type ControlRouter } from "../../tasks/control/router";
import { parseInstances } from "../../tasks/platform";
import { type Address } from "../../types";

const queryTimeoutMs = 2_000;

/** A node that may be queried. */
export interface NodeAddress {
    readonly endpoint: string;
    readonly control: Address;
}

/** Answer of a node, or why there is none. */
export type NodeAnswer<Value> =
    | { readonly node: NodeAddress; readonly reached: true; readonly value: Value; }
    | { readonly node: NodeAddress; readonly reached: false; readonly detail: string; };

type Client = ReturnType<typeof createTRPCClient<ControlRouter>>;

const createClient = (address: Address): Client =>
    createTRPCClient<ControlRouter>({ links: [httpLink({ url: `http://${address.host}:${address.port}/trpc` })] });

/** Parses "host:port". */
export const parseAddress = (text: string): Address | undefined => {
    const separator = text.lastIndexOf(":");
    const port = Number(text.slice(separator + 1));
    return separator > 0 && Number.isInteger(port) ? { host: text.slice(0, separator), port } : undefined;
};

/** Reads the nodes from the platform's instance list. */
export const listNodes = async (platform: string, instancesKey: string): Promise<readonly NodeAddress[]> => {
    const answer = await request(`http://${platform}/v1/values/${encodeURIComponent(instancesKey)}`, {
        headersTimeout: queryTimeoutMs,
    });
    return parseInstances(await answer.body.text()) ?? [];
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

/** Queries all nodes at once; a node that does not answer is listed with the reason. */
export const queryNodes = <Value>(
    nodes: readonly NodeAddress[],
    query: (client: Client, signal: AbortSignal) => Promise<Value>,
): Promise<readonly NodeAnswer<Value>[]> => Promise.all(nodes.map(node => queryNode(node, query)));
