import { Agent } from "undici";
import { type Policy } from "../policy/types";
import { type Settings } from "../settings/types";
import { TestGraph, type UpstreamHandler } from "./startTestGraph";

/** A graph that is made anew for each test of a suite and stopped behind it. */
export interface RegisteredGraph {
    readonly getAgent: () => Agent;
    readonly getGraph: () => TestGraph;
    /** Starts the graph with one handler for all upstreams of the desk; returns the first desk's origin for callers. */
    readonly start: (handler: UpstreamHandler, settings?: Partial<Settings>) => Promise<string>;
}

/** Registers the set-up and clean-up of a graph with the suite around it. */
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
