/** Checks the answers of other nodes. Another build may have sent them, or another program at a node's address. */
import * as z from "zod";
import { checkShape } from "../../_lib/checkShape";
import { countSchema } from "../../_lib/numberSchemas";
import { goneRecordSchema, routingTableSchema, storePositionSchema, upstreamRecordSchema } from "../../routing/schema";
import { type Checked, type Fault } from "../../types";
import { type FleetChanges, type TableAnswer } from "../fleet/types";
import { type NodeView } from "./index";

/** Called with the fault of an item that is left out. */
type FaultListener = (fault: Fault) => void;

const itemsSchema = z.array(z.unknown());
const batchSchema = z.object({
    position: storePositionSchema,
    isFull: z.boolean(),
    records: itemsSchema,
    removedIds: z.array(z.string()),
    gone: itemsSchema,
});
const changesSchema = z.object({
    viewId: z.string(),
    serial: countSchema,
    batch: batchSchema.optional(),
    table: routingTableSchema.optional(),
    isCurrent: z.boolean(),
    renewalLeftMs: z.number().min(0).optional(),
    tableAgeMs: z.number().optional(),
    version: countSchema.optional(),
});
const tableAnswerSchema = z.object({
    version: countSchema,
    tableAgeMs: z.number().optional(),
    table: routingTableSchema.optional(),
});
const viewSchema = z.object({ table: routingTableSchema.optional(), upstreams: itemsSchema });

/** Returns the items that conform to a schema, and reports the first fault of each of the others. */
const selectValid = <Item>(
    schema: z.ZodType<Item>,
    items: readonly unknown[],
    onFault: FaultListener,
): readonly Item[] =>
    items.flatMap(item => {
        const checked = checkShape(schema, item);
        if (checked.ok) {
            return [checked.value];
        }
        onFault(checked.faults[0]!);
        return [];
    });

/** Checks the answer to a query of changes. Records that can't be used are left out and reported; the others hold. */
export const checkChanges = (value: unknown, onFault: FaultListener): Checked<FleetChanges> => {
    const checked = checkShape(changesSchema, value);
    if (!checked.ok) {
        return checked;
    }
    const { batch, table, ...others } = checked.value;
    return {
        ok: true,
        value: {
            ...others,
            table,
            batch: batch && {
                ...batch,
                records: selectValid(upstreamRecordSchema, batch.records, onFault),
                gone: selectValid(goneRecordSchema, batch.gone, onFault),
            },
        },
    };
};

/** Checks the answer to a query of the routing table. */
export const checkTableAnswer = (value: unknown): Checked<TableAnswer> => {
    const checked = checkShape(tableAnswerSchema, value);
    return checked.ok ? { ok: true, value: { table: undefined, tableAgeMs: undefined, ...checked.value } } : checked;
};

/** Checks the fleet view of another node. Records that can't be used are left out and reported. */
export const checkView = (value: unknown, onFault: FaultListener): Checked<NodeView> => {
    const checked = checkShape(viewSchema, value);
    return checked.ok
        ? {
            ok: true,
            value: {
                table: checked.value.table,
                upstreams: selectValid(upstreamRecordSchema, checked.value.upstreams, onFault),
            },
        }
        : checked;
};
