import { createRoute, createRoutingTable } from "../../testing/createRoute";
import { ActiveRouting } from "./index";

const createRouting = (onAdopted: () => void = () => undefined): ActiveRouting => {
    const routing = new ActiveRouting(() => 0.5, onAdopted);
    routing.adopt(createRoutingTable(1, [createRoute()]), "platform");
    return routing;
};

describe("ActiveRouting", () => {
    // Guards against a table that is half in force after it couldn't be indexed: its limits, with the former routes.
    it("keeps the former table when a new one can't be adopted", () => {
        const routing = createRouting();
        const broken = { ...createRoutingTable(2, []), routes: [{ ...createRoute(), host: 5 as unknown as string }] };
        expect(() => routing.adopt(broken, "10.0.0.1")).toThrow();
        expect(routing.version).toBe(1);
        expect(routing.findRoute("desk.example", "/lookup/1")?.name).toBe("lookup");
        expect(routing.adopt(createRoutingTable(3, [createRoute({ prefix: "/new/" })]), "platform")).toBe(true);
        expect(routing.findRoute("desk.example", "/new/1")?.name).toBe("lookup");
    });
});
