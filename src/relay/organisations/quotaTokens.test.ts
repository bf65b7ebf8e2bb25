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
        const records = this.nodes.map(({ host, domain }) =>
            createUpstreamRecord({ id: host, host, failureDomain: domain })
        );
        const organisations = [{ name: "org-1", keyDigests: [], quota }];
        this.nodes.forEach(({ tokens }) => {
            tokens.updateNodes(records);
            tokens.adopt(createRoutingTable(1, [], organisations));
            tokens.start();
        });
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

    private sendRequest({ tokens }: QuotaNode): void {
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

describe("an organisation within its quota", () => {
    it("is let in on a calm day", async () => {
        const fleet = new QuotaFleet();
        await fleet.runFor(5_000, false);
        await fleet.runFor(10_000);
        expect(fleet.computeGrantedShare(5_000, 15_000)).toBeGreaterThan(0.99);
    });

    it.each(domains)(
        "is let in soon after domain %s was cut off, on both sides, and after its return",
        async domain => {
            const fleet = new QuotaFleet();
            await fleet.runFor(5_000, false);
            await fleet.runFor(2_000);
            fleet.isCut = (from, to) => (from.domain === domain) !== (to.domain === domain);
            await fleet.runFor(6_000);
            fleet.isCut = () => false;
            await fleet.runFor(6_000);
            const shares = [7_000, 9_000, 11_000, 13_000, 15_000, 17_000].map(fromMs =>
                Math.round(100 * fleet.computeGrantedShare(fromMs, fromMs + 2_000))
            );
            expect(Math.min(...shares.slice(1, 3), ...shares.slice(4))).toBeGreaterThanOrEqual(90);
        },
    );
});
