/** Weight that a window keeps when the next one is added. */
const memory = 0.95;
/** Keeps the equations solvable while routes have had few requests; in squared requests. */
const regularization = 4;
/** Calls below this number for each request are taken for chance. */
const smallestFactor = 0.2;

/**
 * Estimates how many calls of each kind a request of each route leads to, from the counts of both in successive windows,
 * by least squares with forgetting. Calls do not name the request that they are made for, so this is the only way to know.
 */
export class FanOutEstimate {
    private readonly routes: string[] = [];
    /** Sums of products of the counts of two routes. */
    private products: number[][] = [];
    /** For each kind of call, sums of products with the counts of each route. */
    private readonly calls = new Map<string, number[]>();
    private factors = new Map<string, readonly number[]>();

    /** Adds the counts of one window: requests by route, calls by kind. */
    addWindow(requests: ReadonlyMap<string, number>, calls: ReadonlyMap<string, number>): void {
        requests.forEach((count, route) => this.addRoute(route));
        calls.forEach((count, kind) => this.addCall(kind));
        const counts = this.routes.map(route => requests.get(route) ?? 0);
        this.products = this.products.map((row, i) => row.map((sum, j) => sum * memory + counts[i]! * counts[j]!));
        this.calls.forEach((sums, kind) => {
            const made = calls.get(kind) ?? 0;
            this.calls.set(kind, sums.map((sum, i) => sum * memory + counts[i]! * made));
        });
        this.factors = new Map();
    }

    /** Calls of a kind that a request of a route leads to; 0 when there is no sign of any. */
    estimate(route: string, call: string): number {
        const index = this.routes.indexOf(route);
        const sums = this.calls.get(call);
        if (index < 0 || !sums) {
            return 0;
        }
        const solved = this.factors.get(call) ?? solveNonNegative(this.products, sums);
        this.factors.set(call, solved);
        const factor = solved[index]!;
        return factor < smallestFactor ? 0 : factor;
    }

    private addRoute(route: string): void {
        if (this.routes.includes(route)) {
            return;
        }
        this.routes.push(route);
        this.products = this.products.map(row => [...row, 0]);
        this.products.push(this.routes.map(() => 0));
        this.calls.forEach((sums, kind) => this.calls.set(kind, [...sums, 0]));
    }

    private addCall(kind: string): void {
        if (!this.calls.has(kind)) {
            this.calls.set(kind, this.routes.map(() => 0));
        }
    }
}

/** Rounds of the coordinate descent; the systems have a handful of unknowns. */
const rounds = 50;

/** Solves the regularized normal equations under the condition that no factor is negative. */
const solveNonNegative = (products: readonly (readonly number[])[], sums: readonly number[]): readonly number[] => {
    const factors = sums.map(() => 0);
    for (let round = 0; round < rounds; round += 1) {
        factors.forEach((factor, i) => {
            const row = products[i]!;
            const others = row.reduce((sum, product, j) => j === i ? sum : sum + product * factors[j]!, 0);
            factors[i] = Math.max(0, (sums[i]! - others) / (row[i]! + regularization));
        });
    }
    return factors;
};
