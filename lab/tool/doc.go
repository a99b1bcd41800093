// Package tool is a stand-in for the tool services that programs call between
// their turns.
//
//   - POST /v1/tools/{name}/invoke with an Idempotency-Key header and any body
//     runs the tool once for each key and answers
//     {"tool","key","effect","result"}, where effect numbers the runs. A repeat
//     gets the first answer; the same key with another body gets 422.
//   - POST /control/faults sets what goes wrong (Faults), until the next one.
//   - GET /ledger lists what arrived, as newline-delimited JSON.
package tool
