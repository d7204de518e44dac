#!/usr/bin/env bash
# One client's piece key has a byte beyond ASCII. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review_cases_3 ] || exit 2
exec timeout 110 target/review-3/review_cases_3 piece-key review/11/record.txt
