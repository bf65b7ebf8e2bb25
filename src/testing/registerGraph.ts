import { Agent } from "undici";
import { type Policy } from "../policy/types";
import { type Settings } from "../settings/types";
import { TestGraph, type UpstreamHandler } from "./startTestGraph";

/** Access to the graph of the current test; each test starts its own, which is stopped after the test. */
export interface RegisteredGraph {
    readonly getAgent: () => Agent;
    readonly getGraph: () => TestGraph;
    /** Starts the graph with one handler for all upstreams of `desk`; returns the caller origin of `desk-a`. */
    readonly start: (handler: UpstreamHandler, settings?: Partial<Settings>) => Promise<string>;
}

/** Registers the set-up and clean-up of a graph with the enclosing test suite. */
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
