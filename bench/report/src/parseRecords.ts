// Parses benchmark records from JSON. A file contains one record or an array of records. Only the plotted fields
// are validated, so that records with additional fields are accepted.
import { z } from 'zod'
import type { RunRecord } from '@siskinbeam/bench/record'

const milliseconds = z.number().nonnegative()
// `satisfies` fails the build if the benchmark no longer writes a plotted field.
const recordSchema = z.object({
  workload: z.string(),
  policy: z.string(),
  seed: z.number(),
  load: z.number(),
  fault: z.string(),
  entryHosts: z.number(),
  requests: z.number(),
  p50Ms: milliseconds,
  p99Ms: milliseconds,
  p999Ms: milliseconds,
  probesPerRequest: z.number().nonnegative()
} satisfies Partial<Record<keyof RunRecord, z.ZodType>>)

/** The plotted fields of a record. */
export type PlottedRecord = z.output<typeof recordSchema>

/** Parses the records of a file. Throws an Error that names the file if it contains anything else. */
export function parseRecords (file: string, text: string): PlottedRecord[] {
  const parsed = z.union([z.array(recordSchema), recordSchema.transform(record => [record])]).safeParse(parseJson(file, text))
  if (parsed.success) return parsed.data
  throw new Error(`${file} does not contain valid benchmark records: ${z.prettifyError(parsed.error)}`)
}

function parseJson (file: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new Error(`${file} is not JSON: ${(error as Error).message}`)
  }
}
