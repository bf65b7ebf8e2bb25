import { Agent } from "undici";
import { type Policy } from "../policy/types";
import { type Settings } from "../settings/types";
import { TestGraph, type UpstreamHandler } from "./startTestGraph";

/** Access to the HTTP agent of the current test, and to its graph after `start`. */
export interface RegisteredGraph {
    readonly getAgent: () => Agent;
    readonly getGraph: () => TestGraph;
    /** Starts the graph with one handler for all upstreams of `desk`; returns the caller origin of `desk-a`. */
    readonly start: (handler: UpstreamHandler, settings?: Partial<Settings>) => Promise<string>;
}

/** Registers hooks that create an agent before each test, and that destroy it and stop the test's graph afterwards. */
export const registerGraph = (policy: Policy): RegisteredGraph => {
    let graph: TestGraph | undefined;
    let agent: Agent;
    beforeEach(() => {
        agent = new Agent();
    });
    afterEach(async () => {
        await agent.destroy();
        await graph?.stop();
        graph = undefined;
    });
    return {
        getAgent: () => agent,
        getGraph: () => graph!,
        start: async (handler, settings) => {
            graph = await new TestGraph({ policy, upstreams: { desk: () => handler }, settings }).start();
            return graph.getNode("desk-a").callers;
        },
    };
};
