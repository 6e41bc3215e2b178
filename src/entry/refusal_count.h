#ifndef DS_ENTRY_REFUSAL_COUNT_H
#define DS_ENTRY_REFUSAL_COUNT_H

void ds_refusal_count (unsigned status);

#endif
