/** Load pattern: organisations that send within their quotas at all nodes, while a failure domain is cut off. */
import { createRandom } from "../../_lib/createRandom";
import { createRoutingTable, createUpstreamRecord } from "../../testing/createRoute";
import { VirtualClock } from "../../testing/virtualClock";
import { QuotaTokens } from "./quotaTokens";

const domains = ["a", "b", "c"];
const nodesPerDomain = 6;
const hopMs = 1;
const timeoutMs = 300;
const bounds = { windowMs: 5_000, overshoot: 0.25, slack: 20 };
const quota = { ratePerSecond: 64, burst: 64 };
/** Mean interval between requests of the organisation at one node, for 40 requests/s over all nodes. */
const intervalMs = domains.length * nodesPerDomain * 1_000 / 40;
/** Time after the start of a cut until the platform takes the nodes that it doesn't reach off its list. */
const entryLapseMs = 4_500;

interface QuotaNode {
    readonly host: string;
    readonly domain: string;
    readonly tokens: QuotaTokens;
}

/** Nodes that let requests of one organisation in, on a virtual clock. */
class QuotaFleet {
    readonly clock = new VirtualClock();
    readonly nodes: readonly QuotaNode[];
    isCut: (from: QuotaNode, to: QuotaNode) => boolean = () => false;
    private readonly sampleRandom = createRandom(5);
    /** Times of granted and of other requests, in milliseconds. */
    readonly grantedAtMs: number[] = [];
    readonly refusedAtMs: number[] = [];

    constructor() {
        this.nodes = domains.flatMap((domain, domainIndex) =>
            Array.from({ length: nodesPerDomain }, (unused, index) => {
                const host = `10.${domainIndex}.0.${index}`;
                return { host, domain, tokens: this.createTokens(host, domain) };
            })
        );
        const organisations = [{ name: "org-1", keyDigests: [], quota }];
        this.listNodes(this.nodes);
        this.nodes.forEach(({ tokens }) => {
            tokens.adopt(createRoutingTable(1, [], organisations));
            tokens.start();
        });
    }

    /** Gives nodes a list of the nodes that are up, as the platform does. */
    listNodes(receivers: readonly QuotaNode[], listed = this.nodes): void {
        const records = listed.map(({ host, domain }) =>
            createUpstreamRecord({ id: host, host, failureDomain: domain })
        );
        receivers.forEach(({ tokens }) => tokens.updateNodes(records, records.length));
    }

    /** Cuts a domain off from the others and from the platform, whose list lacks its nodes some time later. */
    async runCut(cutDomain: string, durationMs: number): Promise<void> {
        const others = this.nodes.filter(({ domain }) => domain !== cutDomain);
        this.isCut = (from, to) => (from.domain === cutDomain) !== (to.domain === cutDomain);
        await this.runFor(entryLapseMs);
        this.listNodes(others, others);
        await this.runFor(durationMs - entryLapseMs);
        this.isCut = () => false;
        this.listNodes(this.nodes);
    }

    /** Sends requests of the organisation at all nodes for a time. */
    async runFor(durationMs: number, areRequestsSent = true): Promise<void> {
        const untilMs = this.clock.readMonotonicMs() + durationMs;
        while (this.clock.readMonotonicMs() < untilMs) {
            this.clock.runUntil(this.clock.readMonotonicMs() + 10);
            this.nodes.filter(() => areRequestsSent && this.sampleRandom() < 10 / intervalMs).forEach(node =>
                this.sendRequest(node)
            );
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Share of the requests between two times that were let in. */
    computeGrantedShare(fromMs: number, toMs: number): number {
        const count = (times: readonly number[]): number => times.filter(atMs => atMs >= fromMs && atMs < toMs).length;
        return count(this.grantedAtMs) / (count(this.grantedAtMs) + count(this.refusedAtMs));
    }

    /** Sends a request of the organisation at a node. */
    sendRequest({ tokens }: QuotaNode): void {
        const atMs = this.clock.readMonotonicMs();
        tokens.take(
            { name: "org-1", keyDigests: [], quota },
            ({ kind }) => void (kind === "granted" ? this.grantedAtMs : this.refusedAtMs).push(atMs),
        );
    }

    private createTokens(host: string, failureDomain: string): QuotaTokens {
        return new QuotaTokens({
            host,
            failureDomain,
            bounds,
            incarnation: host,
            clock: this.clock,
            queryTokens: (to, query, onAnswer) => {
                const [from, target] = [host, to].map(name => this.nodes.find(node => node.host === name)!);
                if (this.isCut(from!, target!)) {
                    this.clock.schedule(timeoutMs, () => onAnswer(undefined));
                    return;
                }
                this.clock.schedule(hopMs, () => {
                    const answer = target!.tokens.serve(host, query);
                    this.clock.schedule(hopMs, () => onAnswer(answer));
                });
            },
            onHolder: () => undefined,
        });
    }
}

describe("a request that comes while the holder is being asked", () => {
    it("gets its token with the next answer", async () => {
        const fleet = new QuotaFleet();
        await fleet.runFor(5_000, false);
        const [, node] = fleet.nodes;
        fleet.sendRequest(node!);
        await new Promise(resolve => setImmediate(resolve));
        fleet.clock.runUntil(fleet.clock.readMonotonicMs() + 1);
        fleet.sendRequest(node!);
        await fleet.runFor(30, false);
        expect(fleet.grantedAtMs).toHaveLength(2);
    });
});

describe("an organisation within its quota", () => {
    it("is let in on a calm day", async () => {
        const fleet = new QuotaFleet();
        await fleet.runFor(5_000, false);
        await fleet.runFor(10_000);
        expect(fleet.computeGrantedShare(5_000, 15_000)).toBeGreaterThan(0.99);
    });

    it.each(domains)(
        "is let in from the start of a cut of domain %s to its end and after, on both sides",
        async domain => {
            const fleet = new QuotaFleet();
            await fleet.runFor(5_000, false);
            await fleet.runFor(2_000);
            await fleet.runCut(domain, 8_000);
            await fleet.runFor(6_000);
            const startsMs = Array.from({ length: 14 }, (unused, index) => 7_000 + 1_000 * index);
            const shares = startsMs.map(fromMs => fleet.computeGrantedShare(fromMs, fromMs + 1_000));
            expect(Math.min(...shares)).toBeGreaterThanOrEqual(0.9);
        },
    );
});
