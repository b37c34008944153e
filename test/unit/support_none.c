/* Placeholder: a static library needs at least one source file. */
int support_none(void);

int
support_none(void)
{
	return 0;
}
